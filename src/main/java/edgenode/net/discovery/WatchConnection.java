package edgenode.net.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;

/**
 * A connection that watches for changes: it requests the complete list unless a version is known,
 * and from that version on it reads one JSON object after another, each followed by a line end.
 */
final class WatchConnection extends AgentConnection {
  /** The agent sends whole lines: part of one with nothing behind it for so long is all. */
  private static final double PARTIAL_LINE_TIMEOUT_MS = 80;

  private final AgentWatch watch;
  private boolean isFollowing;
  private boolean isLineTimerRunning;
  private long lineCount;
  private long version = -1;
  private double behindSinceMs = Double.NaN;

  WatchConnection(AgentSession session, AgentWatch watch) {
    super(session);
    this.watch = watch;
  }

  @Override
  void addHandlers(ChannelPipeline pipeline) {
    pipeline.addLast(new HttpClientCodec(), this);
  }

  /** The newest version that came on this connection, or from which it was requested. */
  long version() {
    return version;
  }

  /** Since when a poll was ahead of this connection (ms), NaN where none is. */
  double behindSinceMs() {
    return behindSinceMs;
  }

  void setBehindSinceMs(double timeMs) {
    behindSinceMs = timeMs;
  }

  @Override
  boolean isStreaming() {
    return isFollowing;
  }

  @Override
  void established() {
    watch.established(this);
  }

  @Override
  void writeRequest(Channel target) {
    long since = session.listener.resumeVersion(session.sourceId);
    isFollowing = since >= 0;
    version = Math.max(version, since);
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.GET,
            isFollowing ? AgentSession.PATH + "?follow=1&since=" + since : AgentSession.PATH);
    request.headers().set(HttpHeaderNames.HOST, session.host());
    target.writeAndFlush(request);
  }

  @Override
  void responseStarted() {
    watch.responseStarted(this);
  }

  @Override
  void listReceived(ChannelHandlerContext ctx, int length) throws IOException {
    EndpointListJson list = buffer.parse(length, this::reportSkipped);
    session.listener.endpointsReceived(
        session.sourceId, list.version(), list.isComplete(), list.endpoints());
    version = list.version();
    watch.listReceived(version);
    watch.resetBackoff();
    if (session.isRetired()) {
      ctx.close();
    } else {
      request(); // the watch goes on from this version
    }
  }

  @Override
  void streamed(ChannelHandlerContext ctx, ByteBuf in) throws IOException {
    while (in.isReadable() && !isClosed()) {
      int lineLength = in.bytesBefore((byte) '\n');
      append(ctx, in, lineLength < 0 ? in.readableBytes() : lineLength);
      if (lineLength >= 0) {
        in.skipBytes(1);
        lineCount++;
        if (!buffer.isInsideObject()) {
          messageReceived(buffer.endMessage());
        }
      }
    }
  }

  private void messageReceived(int length) throws IOException {
    watch.messageReceived();
    if (buffer.isBlank(length)) {
      session.listener.sourceConfirmed(session.sourceId);
      return;
    }
    EndpointListJson change = buffer.parse(length, this::reportSkipped);
    if (change.isComplete()) {
      session.setListBytes(length);
    }
    version = Math.max(version, change.version());
    behindSinceMs = Double.NaN;
    session.listener.endpointsReceived(
        session.sourceId, change.version(), change.isComplete(), change.endpoints());
    buffer.shrink();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (isFollowing && buffer.size() > 0 && !isLineTimerRunning) {
      awaitRestOfLine(ctx.channel(), lineCount, buffer.size());
    }
    super.channelReadComplete(ctx);
  }

  /** Closes the connection if the line does not grow; one that does is waited for again. */
  private void awaitRestOfLine(Channel channel, long linesBefore, int bytesBefore) {
    isLineTimerRunning = true;
    session.loop.schedule(
        PARTIAL_LINE_TIMEOUT_MS,
        () -> {
          isLineTimerRunning = false;
          if (isClosed()) {
            return;
          }
          if (lineCount == linesBefore && buffer.size() == bytesBefore) {
            channel.close();
          } else if (buffer.size() > 0) {
            awaitRestOfLine(channel, lineCount, buffer.size());
          }
        });
  }

  @Override
  void timedOut() {
    // without any byte yet discovery may be down: then AgentWatch.checkSilence ends it
    if (hasResponseBytes()) {
      close();
    }
  }

  @Override
  void connectFailed(boolean isRefused) {
    markClosed();
    watch.connectFailed(isRefused);
  }

  @Override
  void disconnected() {
    watch.disconnected(this);
  }
}
