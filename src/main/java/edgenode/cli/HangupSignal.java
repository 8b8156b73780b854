package edgenode.cli;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which would end a JVM. The module jdk.unsupported has the only way to handle a
 * signal. It is called by reflection, as {@code -Xlint:all -Werror} rejects its names and the
 * warning cannot be suppressed in the source.
 */
final class HangupSignal {
  private HangupSignal() {}

  /**
   * From here on each SIGHUP runs {@code handler}, on a thread of the JVM.
   *
   * @return false where the signal cannot be handled: a process whose parent ignored it (nohup,
   *     cron, some supervisors) inherits that, and HotSpot leaves it ignored and shows this only by
   *     the previous handler that it returns; with -Xrs the JVM gives up no signal
   */
  static boolean handle(Runnable handler) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handlerClass},
              (self, method, args) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      handler.run();
                      yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == args[0];
                    default -> "hangup";
                  });
      Object previous =
          signalClass
              .getMethod("handle", signalClass, handlerClass)
              .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), proxy);
      return previous != handlerClass.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }
}
