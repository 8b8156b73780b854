package edgenode.node;

import edgenode.ledger.RequestLedger.ClassCounters;
import edgenode.ledger.RequestLedger.RequestOutcome;
import edgenode.net.downstream.FlowControl;
import edgenode.net.downstream.OpenRequest;
import edgenode.net.downstream.ResponseSlot;
import edgenode.net.upstream.ValueSink;
import edgenode.net.upstream.ValueSource;
import io.netty.buffer.ByteBuf;

/**
 * A long value on its way from a server to its client. For the policy its request has ended; in the
 * figures it is open until the last byte. On the event loop only.
 */
final class StreamedResponse implements ValueSink, OpenRequest, FlowControl {
  private final RequestTable table;
  private final PendingRequest request;
  private final ResponseSlot slot;
  private final ClassCounters counters;
  private final ValueSource source;

  StreamedResponse(
      RequestTable table,
      PendingRequest request,
      ResponseSlot slot,
      ClassCounters counters,
      ValueSource source) {
    this.table = table;
    this.request = request;
    this.slot = slot;
    this.counters = counters;
    this.source = source;
  }

  private void end(RequestOutcome outcome) {
    slot.setOpenRequest(null);
    counters.requestEnded(outcome);
    table.requestClosed();
  }

  /** The client's connection says whether it takes more. */
  @Override
  public void setFlowing(boolean isFlowing) {
    source.setReading(isFlowing);
  }

  @Override
  public void onData(ByteBuf bytes) {
    slot.writeChunk(bytes);
  }

  @Override
  public void onComplete() {
    end(RequestOutcome.SERVED);
    slot.finishStreaming();
  }

  @Override
  public void onAborted() {
    end(RequestOutcome.FAILED);
    slot.abortStreaming();
  }

  @Override
  public void failNow() {
    source.cancel();
    onAborted();
  }

  @Override
  public void clientDisconnected() {
    source.cancel();
    end(RequestOutcome.ABANDONED);
    request.streamAbandoned();
  }
}
