package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;

/** Creates an endpoint source, each time that it comes into use. */
public interface SourceFactory {
  /**
   * Creates a source that has not been started.
   *
   * @param sourceId the name that the source gives with each report
   */
  EndpointSource create(EdgeEventLoop loop, EndpointSourceListener listener, String sourceId);
}
