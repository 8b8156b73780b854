package willowyoke;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end a JVM. The module jdk.unsupported has the one way to catch a signal; by reflection,
 * as a compiler that takes warnings for errors refuses its names, and they cannot be excused in the source.
 */
final class Hangup {
    private Hangup() { }

    /** From here on each SIGHUP runs this, on a thread of the JVM's own. */
    static void caught(Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                (self, method, args) -> switch (method.getName()) {
                    case "handle" -> {
                        then.run();
                        yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == args[0];
                    default -> "hangup";
                });
            signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            System.err.println("SIGHUP cannot be caught: " + e);
        }
    }
}
