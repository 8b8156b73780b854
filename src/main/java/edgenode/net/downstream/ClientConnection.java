package edgenode.net.downstream;

import edgenode.eventloop.DeliveryProgress;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.GracefulChannelClose;
import edgenode.net.resp.PartialMessageBudget;
import edgenode.net.resp.RespCodec;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/** One client's connection: reads its commands, and closes it. On the event loop only. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /**
   * With more unanswered commands on one connection, further requests are rejected. They are read
   * nevertheless: unread ones would age, and hide the end of the connection.
   */
  private static final int MAX_PIPELINED_REQUESTS = 256;

  /** With more unanswered commands, the connection gets an error and is closed. */
  private static final int MAX_UNANSWERED_COMMANDS = 4096;

  /** Time (ms) for the client to close its side after we have closed ours. */
  private static final double LINGER_MS = 200;

  /** While reading is off, interval (ms) at which it is checked whether the client disconnected. */
  private static final double DISCONNECT_CHECK_INTERVAL_MS = 50;

  /**
   * Time (ms) after a pause of reading for which what is read may have come in the pause: the next
   * pass of the event loop reads it.
   */
  private static final double RESUMED_READ_MS = 1;

  /** In place of a time: no command is waited for. */
  private static final double NOT_WAITING = Double.MAX_VALUE;

  private static final int MAX_COMMAND_ELEMENTS = 16;

  private final ClientListener listener;
  private final EdgeEventLoop loop;
  private final Channel channel;
  private final ResponseQueue responses;
  private final double acceptedAtMs;
  private final RespCodec.UndecodedByteCounter decoder;
  private final PartialMessageBudget.Share partialCommand;

  /** Since when a complete command is waited for (ms), or {@link #NOT_WAITING}. */
  private double waitingSinceMs;

  private boolean hasReceivedCommand;

  /** Since when what is read next may be unread (ms), as reading was off; else infinity. */
  private double unreadSinceMs = Double.POSITIVE_INFINITY;

  /** Commands that are read from now on are dropped. */
  private boolean ignoresInput;

  /** The connection ends behind the reads of this pass, unless they bring a command. */
  private boolean isEnding;

  /** Our side is closed, or will be after the last response. */
  private boolean isOutputEnding;

  /** The client has closed its side. */
  private boolean hasClientDisconnected;

  private boolean isDisconnectCheckScheduled;
  private final DeliveryProgress progress;

  /** Adds itself and the codec to the channel's pipeline. */
  ClientConnection(ClientListener listener, EdgeEventLoop loop, Channel channel) {
    this.listener = listener;
    this.loop = loop;
    this.channel = channel;
    responses = new ResponseQueue(loop, channel, listener.responseBudget());
    progress = new DeliveryProgress(loop, channel);
    acceptedAtMs = loop.nowMs();
    waitingSinceMs = acceptedAtMs;
    decoder = RespCodec.addCommandCodec(channel.pipeline(), MAX_COMMAND_ELEMENTS);
    partialCommand = listener.partialCommands().newShare();
    channel.pipeline().addLast(this);
  }

  double acceptedAtMs() {
    return acceptedAtMs;
  }

  /** Whether no command is unanswered and none is partially read. */
  boolean isBetweenRequests() {
    return responses.isEmpty() && decoder.pendingBytes() == 0;
  }

  /** Whether a complete command is due since before this time (ms). */
  boolean isCommandOverdue(double sinceLimitMs) {
    return !ignoresInput && responses.isEmpty() && waitingSinceMs < sinceLimitMs;
  }

  int openRequestCount() {
    return responses.openRequestCount();
  }

  ResponseQueue responses() {
    return responses;
  }

  /** Whether the client has not taken all of a response. */
  boolean hasUndeliveredResponses() {
    return responses.hasUndelivered();
  }

  /**
   * Closes the connection where its client has stopped to read its responses. One that waits for an
   * earlier command's response has nothing in the channel that its client could read.
   *
   * @param nowMs the loop's clock (ms)
   */
  void closeIfStalled(double nowMs) {
    if (responses.unwrittenBytes() == 0) {
      progress.reset(nowMs);
      return;
    }
    if (progress.stalledMs() > listener.stallTimeoutMs()) {
      channel.close();
    }
  }

  boolean isNextToWrite(ResponseSlot slot) {
    return responses.first() == slot;
  }

  // ---- reading ----

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    // A read while reading is off comes with the end of the client's side, or its event was taken
    // before reading was turned off.
    if (ignoresInput || !channel.config().isAutoRead() && checkClientDisconnected()) {
      ReferenceCountUtil.release(message);
      if (isOutputEnding && !checkClientDisconnected()) {
        loop.logLine("client connection: a command was read after the end, and is lost");
      }
      return;
    }
    decoder.messageDecoded((RedisMessage) message);
    hasReceivedCommand = true;
    waitingSinceMs = NOT_WAITING;
    listener.evictionOrder().commandReceived(this, loop.nowMs());
    try {
      messageReceived((RedisMessage) message);
    } finally {
      ReferenceCountUtil.release(message);
    }
    updateReading();
  }

  private void messageReceived(RedisMessage message) {
    if (responses.size() >= MAX_UNANSWERED_COMMANDS) {
      rejectInput("too many commands unanswered");
      return;
    }
    ResponseSlot slot = new ResponseSlot(this);
    responses.add(slot);
    if (message instanceof ArrayRedisMessage command
        && command != ArrayRedisMessage.NULL_INSTANCE
        && !command.children().isEmpty()) {
      dispatch(slot, command);
    } else {
      slot.respond(new ErrorRedisMessage("ERR a command expected"));
    }
  }

  private void dispatch(ResponseSlot slot, ArrayRedisMessage command) {
    String verb = RespCodec.textOf(command.children().get(0));
    if ("CALL.GET".equals(verb) || "CALL.POST".equals(verb)) {
      boolean isOverPipelineLimit = responses.size() > MAX_PIPELINED_REQUESTS;
      String error = listener.requestHandler().requestReceived(slot, command, isOverPipelineLimit);
      if (error != null) {
        slot.respond(new ErrorRedisMessage("ERR " + error));
      }
    } else if ("PING".equalsIgnoreCase(verb)) {
      slot.respond(
          listener.isAcceptingClients()
              ? new SimpleStringRedisMessage("PONG")
              : new ErrorRedisMessage("ERR draining"));
    } else {
      slot.respond(new ErrorRedisMessage("ERR unknown command"));
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!ignoresInput && !partialCommand.update(decoder.pendingBytes())) {
      rejectInput("too many bytes without a whole command");
    }
    if (decoder.pendingBytes() == 0) {
      waitingSinceMs = hasReceivedCommand ? NOT_WAITING : waitingSinceMs;
    } else {
      listener.evictionOrder().partialCommandReceived(this, loop.nowMs());
      if (waitingSinceMs == NOT_WAITING) {
        waitingSinceMs = loop.nowMs();
      }
    }
    loop.flushPending();
  }

  /**
   * Reading is off while the client does not read its responses, while a streamed value is next,
   * with requests open in the last phase of draining, and at the end.
   */
  void updateReading() {
    boolean isReading =
        !ignoresInput
            && !(listener.isReadingStopped() && !responses.isEmpty())
            && !isEnding
            && !responses.isStreamNext()
            && channel.isWritable();
    if (channel.config().isAutoRead() != isReading && !hasClientDisconnected) {
      if (isReading) {
        readingResumed();
      } else {
        unreadSinceMs = Math.min(unreadSinceMs, loop.nowMs());
      }
      channel.config().setAutoRead(isReading);
      if (!isReading && !isDisconnectCheckScheduled) {
        isDisconnectCheckScheduled = true;
        loop.schedule(DISCONNECT_CHECK_INTERVAL_MS, this::checkForDisconnect);
      }
    }
  }

  /** The time in which nothing was read is none in which a client was slow with its command. */
  private void readingResumed() {
    if (waitingSinceMs != NOT_WAITING) {
      waitingSinceMs = loop.nowMs();
    }
    loop.schedule(RESUMED_READ_MS, this::unreadBytesRead);
  }

  private void unreadBytesRead() {
    if (channel.config().isAutoRead()) {
      unreadSinceMs = Double.POSITIVE_INFINITY;
    }
  }

  /** The end of a connection is behind what is unread: without this check it would be seen late. */
  private void checkForDisconnect() {
    isDisconnectCheckScheduled = channel.isActive() && !channel.config().isAutoRead();
    if (isDisconnectCheckScheduled && !checkClientDisconnected()) {
      loop.schedule(DISCONNECT_CHECK_INTERVAL_MS, this::checkForDisconnect);
    }
  }

  /**
   * Whether the client has closed its side, by what the kernel says now. If so the connection is
   * closed, and commands that were read together with the end are dropped.
   */
  boolean checkClientDisconnected() {
    if (!hasClientDisconnected
        && (!channel.isActive() || loop.transport().isClosedByPeer(channel))) {
      hasClientDisconnected = true;
      ignoresInput = true;
      channel.close();
    }
    return hasClientDisconnected;
  }

  /**
   * For how long (ms) what is read now may have been unread. The first command of a new connection
   * may have arrived before that was accepted, one iteration of the event loop earlier; one that is
   * read after a pause of reading, as the pause began.
   */
  double unreadDelayMs() {
    double delayMs = loop.queueingDelayMs();
    double ageMs = loop.nowMs() - acceptedAtMs;
    double loopDelayMs = ageMs <= delayMs ? ageMs + delayMs : delayMs;
    return Math.max(loopDelayMs, loop.nowMs() - unreadSinceMs);
  }

  /**
   * Where the next command begins is unknown. Open requests of the connection fail at once, so that
   * the error behind them is not late; nothing more is read.
   */
  void rejectInput(String reason) {
    if (!ignoresInput) {
      ignoresInput = true;
      decoder.discardInput();
      partialCommand.release();
      ResponseSlot last = new ResponseSlot(this);
      responses.add(last);
      responses.failOpenRequests();
      last.respond(new ErrorRedisMessage("ERR " + reason));
    }
    loop.flushPending();
  }

  // ---- writing ----

  /** Writes the responses that are due; closes the connection after the last one it owes. */
  void writeResponses() {
    responses.writeReady();
    if (responses.isEmpty()) {
      if (listener.isClosing() || ignoresInput) {
        closeGracefully();
      } else if (hasReceivedCommand) {
        listener.connectionIdle(this);
      }
    }
    if (!channel.config().isAutoRead() || responses.isStreamNext()) {
      updateReading();
    }
  }

  /** See {@link ResponseSlot#abortStreaming}. */
  void abortStream(ResponseSlot slot) {
    if (slot.isHeaderWritten()) {
      endOutput();
      responses.failOpenRequests(); // what comes behind a part of a value cannot be distinguished
    } else {
      slot.release();
      slot.respond(new ErrorRedisMessage("ERR failed"));
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    responses.updateFlow();
    if (responses.isReadyToWrite()) {
      loop.execute(this::writeResponses); // not within the flush that made the channel writable
    }
    updateReading();
  }

  // ---- end ----

  /**
   * Makes room for another connection. Where the client's system has all it was sent a while ago,
   * the connection is closed at once: after a graceful close it would keep its descriptor until the
   * client closes too. Where it may not have, a reset could destroy a response.
   */
  void evict() {
    boolean isIdle = loop.nowMs() - listener.evictionOrder().remove(this) > LINGER_MS;
    if (isIdle
        && channel.isActive()
        && !responses.hasUndelivered()
        && loop.transport().deliveryOf(channel).isComplete()) {
      ignoresInput = true;
      channel.close();
    } else {
      closeGracefully();
    }
  }

  /**
   * Closes our side once the connection is between requests, then waits for the client to close its
   * own: a reset could destroy a response. What arrives from now on stays unread, so that the close
   * resets the connection over it: that tells the client that its request was not read, and it
   * sends it again.
   *
   * <p>The end comes behind the reads of this pass of the event loop. Turning reading off does not
   * stop a read whose event has already been taken; what it brings is answered, as a command that
   * is read and dropped would be lost.
   */
  void closeGracefully() {
    if (!isOutputEnding && !hasClientDisconnected) {
      isEnding = true;
      listener.evictionOrder().remove(this);
      updateReading();
      loop.execute(this::endOutputBetweenRequests);
    }
  }

  private void endOutputBetweenRequests() {
    if (isOutputEnding || hasClientDisconnected || !channel.isActive()) {
      return;
    }
    if (ignoresInput ? responses.isEmpty() : isBetweenRequests()) {
      endOutput();
    } else if (!ignoresInput) {
      cancelEnd();
    }
  }

  /**
   * A command has been read meanwhile: its client may send others behind it, and is not to find
   * them unread. A drain ends the connection after its last response; at the connection limit
   * another one is evicted.
   */
  private void cancelEnd() {
    isEnding = false;
    listener.evictionOrder().connected(this, loop.nowMs());
    if (responses.isEmpty()) {
      listener.evictionOrder().partialCommandReceived(this, loop.nowMs());
    } else {
      listener.evictionOrder().commandReceived(this, loop.nowMs());
    }
    updateReading();
    listener.enforceConnectionLimit();
  }

  private void endOutput() {
    if (!isOutputEnding) {
      isOutputEnding = true;
      ignoresInput = true;
      listener.evictionOrder().remove(this);
      updateReading();
      GracefulChannelClose.start(loop, channel, LINGER_MS, listener::stallTimeoutMs);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    listener.connectionClosed(this);
    partialCommand.release();
    responses.closed();
    listener.enforceConnectionLimit();
    loop.flushPending();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof CodecException) {
      rejectInput("malformed");
      return;
    }
    if (!(cause instanceof IOException)) {
      loop.logFailure("client connection", cause);
    }
    channel.close();
  }
}
