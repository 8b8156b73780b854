package edgenode.net.downstream;

import edgenode.net.resp.RespCodec;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;

/**
 * The place of one command's response in the order of its connection. A response is either one
 * message or a streamed value; it is written once those before it are. On the event loop only.
 */
public final class ResponseSlot {
  private final ClientConnection connection;

  /** Starts the command once its response can be buffered; null before and after. */
  private Runnable startTask;

  /** The command is started, and has no response yet. */
  private boolean isAwaitingResponse;

  /** Bytes of the response that are buffered here, or may be. */
  private long bufferedBytes;

  /** Null until there is a response that is not streamed. */
  private RedisMessage response;

  /** Null where no request is open here. */
  private OpenRequest openRequest;

  /** Null where the response is no streamed value. */
  private StreamedValue streamedValue;

  ResponseSlot(ClientConnection connection) {
    this.connection = connection;
  }

  /** Sets the request that is open here, or null where none is. */
  public void setOpenRequest(OpenRequest request) {
    openRequest = request;
  }

  /**
   * Starts the work on the command, now or once its response can be buffered with those that the
   * clients have not read. A command that is answered before that is not started.
   *
   * @return whether it has been started
   */
  public boolean startWhenBufferFree(Runnable task) {
    startTask = task;
    return connection.responses().startWhenBufferFree(this);
  }

  void start() {
    Runnable task = startTask;
    startTask = null;
    isAwaitingResponse = true;
    task.run();
  }

  /** Whether the command waits until its response can be buffered. */
  public boolean isUnstarted() {
    return startTask != null;
  }

  /**
   * Whether a value that has come for the command can be written or buffered. If not, its client
   * reads so slowly that {@link #respond} has to be given an error instead.
   */
  public boolean canBuffer(int valueBytes) {
    return connection.responses().canBuffer(this, valueBytes);
  }

  /** The command needs no more work: it is not started, or what was started has ended. */
  private void endStart() {
    if (startTask != null) {
      startTask = null;
      connection.responses().cancelStart(this);
    }
    if (isAwaitingResponse) {
      isAwaitingResponse = false;
      connection.responses().startedRequestEnded();
    }
  }

  /**
   * Gives the response as one message.
   *
   * @param message the slot's to release
   */
  public void respond(RedisMessage message) {
    if (connection.responses().isClosed()) {
      ReferenceCountUtil.release(message);
      return;
    }
    endStart();
    int valueBytes = RespCodec.valueBytes(message);
    connection.responses().valueReceived(valueBytes);
    response = connection.responses().toBufferedMessage(this, message);
    buffered(valueBytes);
    connection.writeResponses();
  }

  private void buffered(long bytes) {
    bufferedBytes += bytes;
    connection.responses().buffered(bytes);
  }

  /**
   * Starts a response whose value arrives in chunks. Until the responses before it are written the
   * source is stopped; chunks that arrive nevertheless are kept. With further commands unanswered,
   * the value may be held back until it is complete: behind a value that breaks off, nothing could
   * be answered.
   *
   * @param lengthBytes of the whole value
   * @param source stopped while the client does not read
   * @param maxHoldMs time (ms) for which the value may be held back once it is next
   */
  public void startStreaming(int lengthBytes, FlowControl source, double maxHoldMs) {
    endStart();
    connection.responses().valueReceived(lengthBytes);
    streamedValue = new StreamedValue(lengthBytes, source, maxHoldMs);
    if (!connection.isNextToWrite(this)) {
      source.setFlowing(false);
    }
    connection.writeResponses();
  }

  /**
   * Adds the next bytes of a streamed value.
   *
   * @param chunk the slot's to release
   */
  public void writeChunk(ByteBuf chunk) {
    int chunkBytes = chunk.readableBytes();
    if (!streamedValue.hasHoldBuffer() || !streamedValue.isHeld()) {
      buffered(chunkBytes); // else it is counted already
    }
    streamedValue.add(chunk);
    connection.writeResponses();
  }

  /** The streamed value is complete. */
  public void finishStreaming() {
    streamedValue.finish();
    connection.writeResponses();
  }

  /**
   * The rest of the streamed value will not arrive. The client gets an error where nothing of the
   * value is written, else the end of its connection.
   */
  public void abortStreaming() {
    connection.abortStream(this);
  }

  /**
   * Whether the client has closed its side, by what the kernel says now, also where the event loop
   * has not read that yet. If so, all open requests of the connection are notified later.
   */
  public boolean hasClientDisconnected() {
    return connection.checkClientDisconnected();
  }

  /**
   * For how long (ms) the command may have been unread in the kernel; to be asked when it is
   * received.
   */
  public double unreadDelayMs() {
    return connection.unreadDelayMs();
  }

  RedisMessage response() {
    return response;
  }

  OpenRequest openRequest() {
    return openRequest;
  }

  /** Returns the value that is streamed here, or null. */
  StreamedValue streamedValue() {
    return streamedValue;
  }

  boolean isStreaming() {
    return streamedValue != null;
  }

  /** Whether a part of a streamed value is written. */
  boolean isHeaderWritten() {
    return streamedValue != null && streamedValue.isHeaderWritten();
  }

  /** Collects the streamed value in a buffer, whose bytes count as buffered from now on. */
  void allocateHoldBuffer() {
    buffered(streamedValue.lengthBytes() - bufferedBytes);
    streamedValue.allocateHoldBuffer();
  }

  /** The streamed value has been held back for as long as it may. */
  void holdTimedOut() {
    endHold();
    connection.writeResponses();
  }

  /** The streamed value is not held back any more: what has not come of it does not count. */
  void endHold() {
    streamedValue.endHold();
    if (streamedValue.hasHoldBuffer()) {
      long missingBytes = bufferedBytes - streamedValue.unwrittenHeldBytes();
      bufferedBytes -= missingBytes;
      connection.responses().unbuffered(missingBytes);
    }
  }

  /** Returns the next chunk, which is the caller's to release; there has to be one. */
  ByteBuf takeChunk() {
    ByteBuf chunk = streamedValue.takeChunk();
    bufferedBytes -= chunk.readableBytes();
    return chunk;
  }

  /** Bytes of the response that are buffered here; those in the channel do not count. */
  long bufferedBytes() {
    return bufferedBytes;
  }

  /** Drops the response, or what is not written of it. */
  void release() {
    ReferenceCountUtil.release(response);
    if (streamedValue != null) {
      streamedValue.release();
      streamedValue = null;
    }
    long releasedBytes = bufferedBytes;
    bufferedBytes = 0;
    connection.responses().unbuffered(releasedBytes);
  }
}
