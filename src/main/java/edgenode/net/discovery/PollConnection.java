package edgenode.net.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.io.IOException;

/** A connection on which the complete list is requested again and again. */
final class PollConnection extends AgentConnection {
  private final AgentPoller poller;
  private final UnchangedResponseFilter filter;

  PollConnection(AgentSession session, AgentPoller poller) {
    super(session);
    this.poller = poller;
    filter = new UnchangedResponseFilter(this, poller);
  }

  @Override
  void addHandlers(ChannelPipeline pipeline) {
    pipeline.addLast(filter, new HttpResponseDecoder(), this);
  }

  @Override
  void established() {}

  @Override
  void writeRequest(Channel target) {
    filter.requestSent();
    target.writeAndFlush(poller.request());
  }

  @Override
  boolean isStreaming() {
    return false;
  }

  @Override
  void responseStarted() {}

  @Override
  void streamed(ChannelHandlerContext ctx, ByteBuf in) {}

  @Override
  void listReceived(ChannelHandlerContext ctx, int length) throws IOException {
    EndpointListJson list = buffer.parse(length, this::reportSkipped);
    filter.listReceived(list.version());
    session.listener.endpointsReceived(
        session.sourceId, list.version(), list.isComplete(), list.endpoints());
    poller.listReceived(list.version());
    poller.responded(this);
  }

  /**
   * The response equals the last one byte for byte.
   *
   * @return false where it must be parsed after all
   */
  boolean acceptUnchanged(long version) {
    if (!session.listener.confirmUnchanged(session.sourceId, version)) {
      return false;
    }
    responseEnded();
    buffer.clear();
    poller.responded(this);
    poller.listReceived(version);
    return true;
  }

  @Override
  void timedOut() {
    poller.timedOut();
  }

  @Override
  void close() {
    super.close();
    poller.remove(this);
  }

  @Override
  void connectFailed(boolean isRefused) {
    markClosed();
    poller.remove(this);
  }

  @Override
  void disconnected() {
    if (poller.remove(this) && isAwaitingResponse() && !session.isRetired()) {
      poller.requestLost();
    }
  }
}
