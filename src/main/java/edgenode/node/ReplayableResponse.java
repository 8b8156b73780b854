package edgenode.node;

import edgenode.ledger.RequestLedger.RequestOutcome;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;

/**
 * A final response in a form that can be given more than once: a value or an error line.
 *
 * @param value null where it is an error
 * @param error the line without its first character and its end; null where it is a value
 */
record ReplayableResponse(byte[] value, String error) {
  static ReplayableResponse of(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk
        ? new ReplayableResponse(ByteBufUtil.getBytes(bulk.content()), null)
        : new ReplayableResponse(null, ((ErrorRedisMessage) message).content());
  }

  int sizeBytes() {
    return value == null ? error.length() : value.length;
  }

  /** A new message, which is its receiver's to release. */
  RedisMessage toMessage() {
    return value == null
        ? new ErrorRedisMessage(error)
        : new FullBulkStringRedisMessage(Unpooled.wrappedBuffer(value));
  }

  RequestOutcome ledgerOutcome() {
    if (value != null) {
      return RequestOutcome.SERVED;
    }
    return error.startsWith("BUSY") ? RequestOutcome.REJECTED : RequestOutcome.FAILED;
  }
}
