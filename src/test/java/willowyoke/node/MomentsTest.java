package willowyoke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Narrow moments: something ends just as something else is owed. The paths stand in docs/design/moments.md. */
class MomentsTest extends NodeFixture {
    private final LateConnects late = new LateConnects();

    @BeforeEach void lateConnects() {
        transport = late;
    }

    /** The node has one connection, which is busy with 01; the next attempt waits for one that comes up late. */
    private Peer.Line busy() throws Exception {
        start();
        late.port = app.port();
        Peer.Line client = client();
        get(client, "01", "read", 5000);
        arrived(1, "read");
        assertEquals("01", server.message().get(2));
        return client;
    }

    /** The connection comes up and carries the one that is still wanted, and nothing before it. */
    private void onlyTheNextIsSent(String id) throws Exception {
        late.release();
        Peer.Line line = app.accept();
        Peer.Line other = client();
        get(other, id, "read", 5000);
        arrived(3, "read");
        assertEquals(id, line.message().get(2));
        line.value("v");
        assertEquals(List.of("v"), other.message());
        expect("ended 3 0 OK true");
    }

    @Test void aClientThatLeftWhileItsAttemptWaitedForAConnectionIsNotServed() throws Exception {
        busy();
        Peer.Line leaves = client();
        get(leaves, "02", "read", 5000);
        arrived(2, "read");
        late.begun();
        leaves.close();
        expect("gone 2");
        expect("ended 2 0 NOT_SENT true");
        onlyTheNextIsSent("03");
    }

    @Test void aRequestThatIsOverWhileItsAttemptWaitedForAConnectionIsNotSent() throws Exception {
        busy();
        Peer.Line client = client();
        get(client, "02", "drop", 5000);
        arrived(2, "drop");
        assertEquals(List.of("-ERR failed"), client.message());
        expect("ended 2 0 NOT_SENT true");
        onlyTheNextIsSent("03");
    }
}
