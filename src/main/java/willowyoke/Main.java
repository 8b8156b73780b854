package willowyoke;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import willowyoke.net.Config;
import willowyoke.net.Node;
import willowyoke.net.Warmup;

/** The command line: {@code drill} speaks the simulator's wire, {@code serve} is a real edge node. */
public final class Main {
    private static final AtomicReference<Node> RUNNING = new AtomicReference<>();

    private Main() { }

    /** Runs the command and exits non-zero with one plain line where the input is malformed. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            Hangup.caught(Main::reload); // before all else: until then SIGHUP ends the process
            serve();
            return;
        }
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: willowyoke drill | serve");
            System.exit(2);
        }
        BufferedReader in = new BufferedReader(
            new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        PrintStream out = new PrintStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), false);
        try {
            new Wire().run(in, out);
        } catch (Wire.Malformed bad) {
            System.err.println(bad.getMessage());
            System.exit(1);
        }
        out.flush();
    }

    private static void serve() throws IOException {
        Config config;
        try {
            config = Config.fromEnvironment(System.getenv());
        } catch (IllegalArgumentException | SettingsReader.Bad bad) {
            System.err.println("configuration: " + bad.getMessage());
            System.exit(2);
            return;
        }
        Warmup.run(config.settings(), Decide::new);
        Node node = new Node(config, Decide::new);
        try {
            node.start();
        } catch (IOException bad) {
            System.err.println("start: " + bad.getMessage());
            System.exit(1);
        }
        RUNNING.set(node);
        Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    }

    /** Before the node is up its configuration is as good as new. */
    private static void reload() {
        Node node = RUNNING.get();
        if (node != null) {
            node.reload(() -> Config.again(System.getenv()));
        }
    }
}
