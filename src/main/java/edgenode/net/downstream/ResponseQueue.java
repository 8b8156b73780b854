package edgenode.net.downstream;

import edgenode.eventloop.DeliveryProgress;
import edgenode.eventloop.EdgeEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.ArrayDeque;

/**
 * Writes the responses of one connection in the order of its commands. What the client does not
 * take yet is buffered within the {@link ResponseBufferBudget}, and commands whose responses would
 * not fit are started later. On the event loop only.
 *
 * <p>A streamed value may break off, and nothing that is written behind a part of a value could be
 * distinguished from it. A value with other commands behind it is therefore held back until it is
 * complete, within the budget and for as long as its client waits; only then it is streamed as it
 * comes. While a streamed value is next, no further commands are read: {@link #isStreamNext}.
 */
final class ResponseQueue {
  /** Longest time (ms) for which a value is held back, whatever its client's wait. */
  private static final double MAX_HOLD_MS = 5000;

  private static final byte[] END_OF_LINE = {'\r', '\n'};

  private final EdgeEventLoop loop;
  private final Channel channel;
  private final ResponseBufferBudget budget;
  private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();

  /** Slots whose command is not started yet, as its response could not be buffered. */
  private final ArrayDeque<ResponseSlot> unstartedSlots = new ArrayDeque<>();

  /** Requests that are started and have no response yet. */
  private int startedRequests;

  /** Bytes of responses that are buffered here or in the channel. */
  private long bufferedBytes;

  /**
   * Bytes of responses in the channel. Its own count also has bytes whose write has ended, until
   * the listeners of that write have run.
   */
  private long writingBytes;

  private boolean isStartScheduled;
  private boolean isClosed;

  ResponseQueue(EdgeEventLoop loop, Channel channel, ResponseBufferBudget budget) {
    this.loop = loop;
    this.channel = channel;
    this.budget = budget;
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

  boolean isClosed() {
    return isClosed;
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

  // ---- starting requests ----

  /**
   * Starts the slot's command, now or once its response can be buffered.
   *
   * @return whether it has been started
   */
  boolean startWhenBufferFree(ResponseSlot slot) {
    unstartedSlots.add(slot);
    startUnstarted();
    return !slot.isUnstarted();
  }

  /** Starts commands, in their order, while their responses can be buffered. */
  private void startUnstarted() {
    while (!unstartedSlots.isEmpty() && budget.canStart(bytesBesidesHeldValue(), startedRequests)) {
      startedRequests++;
      unstartedSlots.poll().start();
    }
  }

  /** Other connections may have freed buffers: has those go on that wait for it. */
  void useFreedBuffers() {
    startUnstarted();
    updateFlow();
  }

  private void startUnstartedLater() {
    if (!unstartedSlots.isEmpty() && !isStartScheduled) {
      isStartScheduled = true;
      loop.execute(
          () -> {
            isStartScheduled = false;
            startUnstarted();
          });
    }
  }

  /** A started request has its response, or needs none. */
  void startedRequestEnded() {
    startedRequests--;
    startUnstartedLater();
  }

  /** The slot is answered without having been started. */
  void cancelStart(ResponseSlot slot) {
    unstartedSlots.remove(slot);
  }

  /** A value of this size has come from an endpoint. */
  void valueReceived(int valueBytes) {
    if (valueBytes > 0) {
      budget.responseReceived(valueBytes);
    }
  }

  /** Whether a value of this size can be written now, or buffered until then. */
  boolean canBuffer(ResponseSlot slot, int valueBytes) {
    return canWriteAtOnce(slot) || budget.canBuffer(bytesBesidesHeldValue(), valueBytes);
  }

  /** Buffered bytes, less a value that is held back: responses behind it are not to be dropped. */
  private long bytesBesidesHeldValue() {
    ResponseSlot first = slots.peek();
    boolean hasHeldValue =
        first != null
            && first.isStreaming()
            && first.streamedValue().isHeld()
            && first.streamedValue().hasHoldBuffer();
    return hasHeldValue ? bufferedBytes - first.bufferedBytes() : bufferedBytes;
  }

  // ---- buffering ----

  private boolean canWriteAtOnce(ResponseSlot slot) {
    return slots.peek() == slot && unwrittenBytes() == 0;
  }

  /**
   * Returns the message in the form in which it can wait for its client. A value is copied: its
   * bytes are part of a larger read buffer, which would be retained with them.
   */
  RedisMessage toBufferedMessage(ResponseSlot slot, RedisMessage message) {
    if (canWriteAtOnce(slot) || !(message instanceof FullBulkStringRedisMessage value)) {
      return message;
    }
    if (value.isNull() || !value.content().isReadable()) {
      return message;
    }
    byte[] bytes = ByteBufUtil.getBytes(value.content());
    value.release();
    return new FullBulkStringRedisMessage(Unpooled.wrappedBuffer(bytes));
  }

  /** Bytes of a response have come. */
  void buffered(long bytes) {
    bufferedBytes += bytes;
    budget.add(bytes);
  }

  /** The kernel has taken bytes of a response, or they are dropped. */
  void unbuffered(long bytes) {
    bufferedBytes -= bytes;
    budget.remove(bytes);
    updateFlow();
    startUnstartedLater();
  }

  // ---- writing ----

  /** Writes the responses that are next, as long as the client takes them. */
  void writeReady() {
    while (!slots.isEmpty() && channel.isWritable()) {
      ResponseSlot first = slots.peek();
      if (first.response() != null) {
        slots.poll();
        write(first.response(), first.bufferedBytes());
      } else if (first.isStreaming() && writeStreamed(first)) {
        slots.poll();
      } else {
        return;
      }
    }
  }

  /** Whether {@link #writeReady} would write something. */
  boolean isReadyToWrite() {
    ResponseSlot first = slots.peek();
    return first != null
        && channel.isWritable()
        && (first.response() != null
            || first.isStreaming() && first.streamedValue().hasUnwrittenParts());
  }

  /** Whether the response that is written next is a streamed value. */
  boolean isStreamNext() {
    ResponseSlot first = slots.peek();
    return first != null && first.isStreaming();
  }

  private void write(Object message, long bytes) {
    if (bytes == 0) {
      channel.write(message, channel.voidPromise());
    } else {
      writingBytes += bytes;
      channel.write(message).addListener(written -> writeEnded(bytes));
    }
    loop.flushLater(channel);
  }

  private void writeEnded(long bytes) {
    writingBytes -= bytes;
    unbuffered(bytes);
  }

  /** Writes what has arrived of the streamed value that is next; whether that is all of it. */
  private boolean writeStreamed(ResponseSlot slot) {
    StreamedValue value = slot.streamedValue();
    if (!value.isHeaderWritten() && !beginStream(slot)) {
      return false;
    }
    while (value.hasUnwrittenChunks() && channel.isWritable()) {
      ByteBuf chunk = slot.takeChunk();
      write(chunk, chunk.readableBytes());
    }
    if (value.isFinished() && !value.hasUnwrittenChunks()) {
      write(Unpooled.wrappedBuffer(END_OF_LINE), 0);
      return true;
    }
    value.source().setFlowing(canStream());
    return false;
  }

  /** Writes the header of the value, or holds the value back; whether the header is written. */
  private boolean beginStream(ResponseSlot slot) {
    StreamedValue value = slot.streamedValue();
    boolean hasCommandsBehind = slots.size() > 1;
    if (hasCommandsBehind && !value.isFinished() && !value.isHoldOver()) {
      holdBack(slot);
      return false;
    }
    slot.endHold();
    write(ByteBufUtil.writeAscii(channel.alloc(), value.header()), 0);
    value.headerWritten();
    return true;
  }

  /**
   * Collects the value in a buffer; without room for that, leaves it at its source, and {@link
   * #updateFlow} looks for room again. The last byte of the value, its failure or the timer ends
   * that.
   */
  private void holdBack(ResponseSlot slot) {
    StreamedValue value = slot.streamedValue();
    if (!value.isHeld()) {
      double holdMs = Math.min(value.maxHoldMs(), MAX_HOLD_MS);
      value.hold(loop.schedule(holdMs, slot::holdTimedOut));
    }
    long missingBytes = value.lengthBytes() - slot.bufferedBytes();
    if (!value.hasHoldBuffer() && budget.canBuffer(bufferedBytes, (int) missingBytes)) {
      slot.allocateHoldBuffer();
    }
    value.source().setFlowing(value.hasHoldBuffer());
  }

  /**
   * Whether more of a streamed value may be read. Where not, the channel is not writable or some of
   * its writes has not ended; the event of either asks again, through {@link #updateFlow}.
   */
  private boolean canStream() {
    return channel.isWritable() && (writingBytes == 0 || budget.canStream(bufferedBytes));
  }

  /**
   * The client reads again, or has stopped to, or other connections have: passes that on to the
   * value that is next.
   */
  void updateFlow() {
    ResponseSlot first = slots.peek();
    if (first == null || !first.isStreaming()) {
      return;
    }
    StreamedValue value = first.streamedValue();
    if (value.isHeaderWritten()) {
      value.source().setFlowing(canStream());
    } else if (value.isHeld() && !value.hasHoldBuffer()) {
      holdBack(first);
    }
  }

  /** Bytes in the channel that the kernel has not taken. */
  long unwrittenBytes() {
    return DeliveryProgress.unwrittenBytes(channel);
  }

  /** Whether a response, or a part of it, waits for the client to read. */
  boolean hasUndelivered() {
    return bufferedBytes > 0 || unwrittenBytes() > 0;
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
    isClosed = true;
    unstartedSlots.clear();
    while (!slots.isEmpty()) {
      ResponseSlot slot = slots.poll();
      slot.release();
      if (slot.openRequest() != null) {
        slot.openRequest().clientDisconnected();
      }
    }
  }
}
