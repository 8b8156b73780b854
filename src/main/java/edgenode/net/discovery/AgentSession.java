package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.membership.EndpointSourceListener;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;

/** What the connections to one agent share. Lives on the event loop. */
final class AgentSession {
  static final String PATH = "/catalog/members";
  static final int CONNECT_TIMEOUT_MS = 1000;

  /** How long a response that still grows is waited for at first; doubled each time that fails. */
  private static final double SLOW_RESPONSE_MS = 400;

  private static final double MAX_SLOW_RESPONSE_MS = 3200;

  final EdgeEventLoop loop;
  final EndpointSourceListener listener;
  final String sourceId;
  private final InetSocketAddress address;
  private final Bootstrap bootstrap;
  private boolean isRetired;
  private int openConnections;
  private int listBytes;
  private double slowResponseMs = SLOW_RESPONSE_MS;
  private String lastMessage = "";

  AgentSession(
      EdgeEventLoop loop,
      EndpointSourceListener listener,
      InetSocketAddress address,
      String sourceId) {
    this.loop = loop;
    this.listener = listener;
    this.address = address;
    this.sourceId = sourceId;
    bootstrap = loop.transport().newClientBootstrap(loop.group(), CONNECT_TIMEOUT_MS);
  }

  /** The value of the {@code Host} header. */
  String host() {
    return address.getHostString() + ":" + address.getPort();
  }

  boolean isRetired() {
    return isRetired;
  }

  /** No request is sent from now on. */
  void retire() {
    isRetired = true;
  }

  /** Connects; the connection is notified of the result on the event loop. */
  void connect(AgentConnection connection) {
    openConnections++;
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connection.addHandlers(channel.pipeline());
              }
            })
        .connect(loop.transport().toSocketAddress(address))
        .addListener(
            result -> {
              if (result.isSuccess()) {
                return;
              }
              openConnections--;
              boolean isRefused = Transport.isRefused(result.cause());
              connection.connectFailed(isRefused);
              reportIfClosed();
            });
  }

  void connectionClosed() {
    openConnections--;
  }

  /** Notifies the listener once the source was retired and its last connection is closed. */
  void reportIfClosed() {
    if (isRetired && openConnections == 0) {
      listener.sourceClosed(sourceId);
    }
  }

  /** The size of the last complete list (bytes). */
  int listBytes() {
    return listBytes;
  }

  void setListBytes(int bytes) {
    listBytes = bytes;
  }

  /** How long a response that still grows is waited for (ms). */
  double slowResponseMs() {
    return slowResponseMs;
  }

  /** A response grew for so long and did not end: the next ones get more time. */
  void allowSlowerResponses() {
    slowResponseMs = Math.min(2 * slowResponseMs, MAX_SLOW_RESPONSE_MS);
  }

  /** Logs a fault; one that repeats with every poll is logged once. */
  void log(String message) {
    if (!message.equals(lastMessage)) {
      lastMessage = message;
      loop.logLine("discovery: " + message);
    }
  }
}
