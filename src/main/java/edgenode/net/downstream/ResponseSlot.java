package edgenode.net.downstream;

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
   * Gives the response as one message.
   *
   * @param message the slot's to release
   */
  public void respond(RedisMessage message) {
    response = message;
    connection.writeResponses();
  }

  /**
   * Starts a response whose value arrives in chunks. Until the responses before it are written the
   * source is stopped; chunks that arrive nevertheless are kept.
   *
   * @param lengthBytes of the whole value
   * @param source stopped while the client does not read
   */
  public void startStreaming(int lengthBytes, FlowControl source) {
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
   * has not read that yet. If so, all open requests of the connection are told, but later.
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

  /** Returns the next chunk, which is the caller's to release, or null where there is none. */
  ByteBuf takeChunk() {
    return unwrittenChunks.poll();
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
  }
}
