package edgenode.net.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Compares the response to a poll with the last one, ahead of the codec: nearly all are equal, and
 * then nothing is decoded or parsed. What differs goes on to the codec, preceded by the bytes that
 * were withheld.
 */
final class UnchangedResponseFilter extends ChannelInboundHandlerAdapter {
  private static final int INITIAL_BYTES = 256;
  private static final int MAX_HEAD_BYTES = 4 << 10;

  /** The response is not compared, or differs. */
  private static final int NOT_COMPARED = -1;

  private final PollConnection connection;
  private final AgentPoller poller;

  /** The response as it came, to be compared with the next one. */
  private final ByteBuf response =
      Unpooled.buffer(INITIAL_BYTES, AgentSource.MAX_POLLED_LIST_BYTES + MAX_HEAD_BYTES);

  private int matchedBytes = NOT_COMPARED;
  private boolean isTooLong;

  UnchangedResponseFilter(PollConnection connection, AgentPoller poller) {
    this.connection = connection;
    this.poller = poller;
  }

  /** A request is sent: its response follows. */
  void requestSent() {
    response.clear();
    isTooLong = false;
    matchedBytes = poller.lastResponse().isReadable() ? 0 : NOT_COMPARED;
  }

  /** The response that has just ended held a list of this version. */
  void listReceived(long version) {
    if (response.isReadable() && !isTooLong) {
      poller.setLastResponse(response, version);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf in = (ByteBuf) message;
    if (matchedBytes != NOT_COMPARED) {
      ByteBuf last = poller.lastResponse();
      int length = in.readableBytes();
      if (matchedBytes + length <= last.readableBytes()
          && ByteBufUtil.equals(last, matchedBytes, in, in.readerIndex(), length)) {
        in.release();
        matchedBytes += length;
        connection.readAhead(length);
        if (matchedBytes < last.readableBytes()) {
          return;
        }
        if (connection.acceptUnchanged(poller.lastVersion())) {
          matchedBytes = NOT_COMPARED;
          return;
        }
        in = Unpooled.EMPTY_BUFFER;
      }
      ByteBuf withheld = Unpooled.copiedBuffer(last.slice(0, matchedBytes));
      matchedBytes = NOT_COMPARED;
      forward(ctx, withheld);
    }
    forward(ctx, in);
  }

  private void forward(ChannelHandlerContext ctx, ByteBuf bytes) {
    int length = bytes.readableBytes();
    if (response.readableBytes() + length > response.maxCapacity()) {
      isTooLong = true;
    } else {
      response.writeBytes(bytes, bytes.readerIndex(), length);
    }
    ctx.fireChannelRead(bytes);
  }
}
