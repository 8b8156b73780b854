package edgenode.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Notes when the passes of an event loop over its channels begin. What had arrived by the begin of
 * a pass has been read at its end. For a loop with one thread; costs a reading of the clock for
 * each pass.
 */
final class IoPassTimes implements IoHandlerFactory {
  private final IoHandlerFactory factory;
  private final Clock clock;
  private double handledUntilMs = Double.NEGATIVE_INFINITY;

  IoPassTimes(IoHandlerFactory factory, Clock clock) {
    this.factory = factory;
    this.clock = clock;
  }

  /** When the last pass began that has ended (ms); on the loop's thread. */
  double handledUntilMs() {
    return handledUntilMs;
  }

  @Override
  public IoHandler newHandler(ThreadAwareExecutor executor) {
    return new TimedHandler(factory.newHandler(executor));
  }

  @Override
  public boolean isChangingThreadSupported() {
    return factory.isChangingThreadSupported();
  }

  private final class TimedHandler implements IoHandler {
    private final IoHandler handler;

    TimedHandler(IoHandler handler) {
      this.handler = handler;
    }

    @Override
    public int run(IoHandlerContext context) {
      double beganAtMs = clock.nowMs();
      int handledEvents = handler.run(context);
      handledUntilMs = beganAtMs;
      return handledEvents;
    }

    @Override
    public void initialize() {
      handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
      handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
      handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return handler.register(handle);
    }

    @Override
    public void wakeup() {
      handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
      return handler.isCompatible(handleType);
    }
  }
}
