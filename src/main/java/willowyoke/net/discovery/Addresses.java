package willowyoke.net.discovery;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as lists tell them: numbers only, as a name would be looked up on the event loop. */
public final class Addresses {
    private static final int PORTS = 65_535;

    private Addresses() { }

    /** @throws IllegalArgumentException where it is not {@code address:port} with a numeric address */
    public static InetSocketAddress parse(String dial) {
        int colon = dial.lastIndexOf(':');
        byte[] address = colon < 1 ? null : NetUtil.createByteArrayFromIpAddressString(dial.substring(0, colon));
        try {
            int port = Integer.parseInt(dial.substring(colon + 1));
            if (address != null && port >= 0 && port <= PORTS) {
                return new InetSocketAddress(InetAddress.getByAddress(address), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // told below
        }
        throw new IllegalArgumentException("address:port expected, found '"
            + (dial.length() > 64 ? dial.substring(0, 64) + "..." : dial) + "'");
    }
}
