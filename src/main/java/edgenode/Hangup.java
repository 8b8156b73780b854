package edgenode;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end a JVM. The module jdk.unsupported has the one way to catch a signal; by
 * reflection, as a compiler that takes warnings for errors refuses its names, and they cannot be
 * excused in the source.
 */
final class Hangup {
  private Hangup() {}

  /**
   * From here on each SIGHUP runs this, on a thread of the JVM's own. False where the signal cannot
   * be had: a process whose parent ignored it (nohup, cron, some supervisors) inherits that, and
   * HotSpot then leaves it ignored and only tells so by the handler that it gives back (POSIX exec:
   * ignored stays ignored); and a JVM with -Xrs gives up no signal at all.
   */
  static boolean caught(Runnable then) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              Hangup.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) ->
                  switch (method.getName()) {
                    case "handle" -> {
                      then.run();
                      yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == args[0];
                    default -> "hangup";
                  });
      Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
      return before != handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }
}
