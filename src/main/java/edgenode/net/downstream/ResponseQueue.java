package edgenode.net.downstream;

import edgenode.eventloop.EdgeEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;

/** Writes the responses of one connection in the order of its commands. On the event loop only. */
final class ResponseQueue {
  private static final byte[] END_OF_LINE = {'\r', '\n'};

  private final EdgeEventLoop loop;
  private final Channel channel;
  private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();

  ResponseQueue(EdgeEventLoop loop, Channel channel) {
    this.loop = loop;
    this.channel = channel;
  }

  void add(ResponseSlot slot) {
    slots.add(slot);
  }

  /** Commands that are not completely answered. */
  int size() {
    return slots.size();
  }

  boolean isEmpty() {
    return slots.isEmpty();
  }

  /** Returns the slot that is written next, or null. */
  ResponseSlot first() {
    return slots.peek();
  }

  /** Accepted requests that have no complete response. */
  int openRequestCount() {
    int count = 0;
    for (ResponseSlot slot : slots) {
      count += slot.openRequest() == null ? 0 : 1;
    }
    return count;
  }

  /** Writes the responses that are next and complete, and what there is of a streamed one. */
  void writeReady() {
    while (!slots.isEmpty()) {
      ResponseSlot first = slots.peek();
      if (first.response() != null) {
        slots.poll();
        write(first.response());
      } else if (first.isStreaming() && writeStreamed(first)) {
        slots.poll();
      } else {
        return;
      }
    }
  }

  private void write(Object message) {
    channel.write(message, channel.voidPromise());
    loop.flushLater(channel);
  }

  /** Writes what has arrived of the streamed value that is next; whether that is all of it. */
  private boolean writeStreamed(ResponseSlot slot) {
    if (!slot.isHeaderWritten()) {
      write(ByteBufUtil.writeAscii(channel.alloc(), slot.unwrittenHeader()));
      slot.headerWritten();
    }
    for (ByteBuf chunk = slot.takeChunk(); chunk != null; chunk = slot.takeChunk()) {
      write(chunk);
    }
    if (slot.isStreamFinished()) {
      write(Unpooled.wrappedBuffer(END_OF_LINE));
      return true;
    }
    slot.flowControl().setFlowing(channel.isWritable());
    return false;
  }

  /** The client reads again, or has stopped to: passes that on to the value that is next. */
  void writabilityChanged() {
    ResponseSlot first = slots.peek();
    if (first != null && first.isStreaming() && first.isHeaderWritten()) {
      first.flowControl().setFlowing(channel.isWritable());
    }
  }

  /** Bytes of responses that the kernel has not taken, as the client does not read. */
  long unwrittenBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /** Fails all open requests at once, for an error that is written after their responses. */
  void failOpenRequests() {
    for (ResponseSlot slot : slots.toArray(new ResponseSlot[0])) {
      if (slot.openRequest() != null) {
        slot.openRequest().failNow();
      }
    }
  }

  /** The connection is closed: releases what is not written, and tells the open requests. */
  void closed() {
    while (!slots.isEmpty()) {
      ResponseSlot slot = slots.poll();
      slot.release();
      if (slot.openRequest() != null) {
        slot.openRequest().clientDisconnected();
      }
    }
  }
}
