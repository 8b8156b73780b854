package edgenode.net.downstream;

import io.netty.handler.codec.redis.ArrayRedisMessage;

/** Receives the requests of clients; on the event loop, must not block. */
public interface RequestHandler {
  /**
   * A command for an application server has been read. A handler that accepts it gives one response
   * to the slot, now or later.
   *
   * @param command the caller's to release: it is retained for as long as it is needed
   * @param isOverPipelineLimit whether so many commands of the connection are unanswered that this
   *     one is rejected
   * @return null where the request was accepted or answered, else what is wrong with it, as the
   *     text of an error response
   */
  String requestReceived(ResponseSlot slot, ArrayRedisMessage command, boolean isOverPipelineLimit);
}
