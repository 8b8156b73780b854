package edgenode.net.downstream;

import edgenode.net.resp.RespCodec;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * The place of one command's response in the order of its connection. A response is either one
 * message or a streamed value; it is written once those before it are. On the event loop only.
 */
public final class ResponseSlot {
  private static final int INITIAL_CHUNKS = 2;

  private final ClientConnection connection;

  /** Starts the command once its response can be buffered; null before and after. */
  private Runnable startTask;

  /** The command is started, and has no response yet. */
  private boolean isAwaitingResponse;

  /** Bytes of the response that are buffered here. */
  private long bufferedBytes;

  /** Null until there is a response that is not streamed. */
  private RedisMessage response;

  /** Null where no request is open here. */
  private OpenRequest openRequest;

  /** The source of a streamed value, or null. */
  private FlowControl flowControl;

  /** The length line of a streamed value, until it is written. */
  private String unwrittenHeader;

  /** Chunks of a streamed value that are not written yet. */
  private ArrayDeque<ByteBuf> unwrittenChunks;

  private boolean isStreamFinished;

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
   * source is stopped; chunks that arrive nevertheless are kept.
   *
   * @param lengthBytes of the whole value
   * @param source stopped while the client does not read
   */
  public void startStreaming(int lengthBytes, FlowControl source) {
    endStart();
    connection.responses().valueReceived(lengthBytes);
    flowControl = source;
    unwrittenHeader = "$" + lengthBytes + "\r\n";
    unwrittenChunks = new ArrayDeque<>(INITIAL_CHUNKS);
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
    unwrittenChunks.add(chunk);
    buffered(chunk.readableBytes());
    connection.writeResponses();
  }

  /** The streamed value is complete. */
  public void finishStreaming() {
    isStreamFinished = true;
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

  boolean isStreaming() {
    return flowControl != null;
  }

  boolean isStreamFinished() {
    return isStreamFinished;
  }

  boolean isHeaderWritten() {
    return unwrittenHeader == null;
  }

  FlowControl flowControl() {
    return flowControl;
  }

  String unwrittenHeader() {
    return unwrittenHeader;
  }

  void headerWritten() {
    unwrittenHeader = null;
  }

  boolean hasUnwrittenChunks() {
    return !unwrittenChunks.isEmpty();
  }

  /** Whether a streamed value has a part that could be written. */
  boolean hasUnwrittenParts() {
    return !isHeaderWritten() || hasUnwrittenChunks() || isStreamFinished;
  }

  /** Returns the next chunk, which is the caller's to release; there has to be one. */
  ByteBuf takeChunk() {
    ByteBuf chunk = unwrittenChunks.remove();
    bufferedBytes -= chunk.readableBytes();
    return chunk;
  }

  /** Bytes of the response that are buffered here; those in the channel do not count. */
  long bufferedBytes() {
    return bufferedBytes;
  }

  /** Drops a stream of which nothing is written, so that another response can be given. */
  void dropStream() {
    release();
    flowControl = null;
  }

  /** Releases what is not written. */
  void release() {
    ReferenceCountUtil.release(response);
    while (unwrittenChunks != null && !unwrittenChunks.isEmpty()) {
      unwrittenChunks.poll().release();
    }
    connection.responses().unbuffered(bufferedBytes);
    bufferedBytes = 0;
  }
}
