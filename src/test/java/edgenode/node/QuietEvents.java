package edgenode.node;

import edgenode.policy.Gateway;
import java.util.List;

/** A module for tests that does nothing of itself: each test says what it is about. */
public abstract class QuietEvents implements Gateway.Events {
  @Override
  public void servers(double now, List<Gateway.Server> list, boolean whole) {}

  @Override
  public void discoveryFailed(double now) {}

  @Override
  public void firstAnswer(double now, long id, int attempt) {}

  @Override
  public void ended(
      double now,
      long id,
      int attempt,
      Gateway.Outcome outcome,
      double took,
      boolean over,
      int trueUnits,
      double[] load) {}

  @Override
  public void gone(double now, long id) {}

  @Override
  public void timer(double now, long token) {}

  @Override
  public void probed(
      double now, String server, Gateway.Outcome outcome, double took, double[] load) {}

  @Override
  public void counted(double now, long name, Gateway.Outcome outcome, double took, double total) {}
}
