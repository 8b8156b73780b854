package edgenode.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;

/**
 * What an app server can do: processor sharing over a part of some cores, a waiting room, a cold
 * start. A pure core: time (ms) is an argument and never goes back, chance comes from the seed; the
 * same calls give the same results.
 *
 * <p>Up to {@code slots} jobs run at once and share {@code cores} cores evenly, none faster than
 * one core (generalised processor sharing; Parekh and Gallager 1993); the rest wait in order, up to
 * {@code room}. A server that has just started works at {@code coldShare} of its speed, which grows
 * evenly to all of it over {@code warmMs}. What a neighbour takes is taken from the cores. An event
 * costs O(running jobs).
 */
public final class CapacityModel {
  /** While the speed changes with time it is taken as steady for so long (ms). */
  private static final double RAMP_STEP_MS = 50;

  private static final double NEVER = Double.POSITIVE_INFINITY;

  /** A rest of work (ms of one core) that is no work any more. */
  private static final double MIN_WORK_MS = 1e-9;

  /**
   * @param cores how many, above 0
   * @param slots jobs that run at once, 1 or more
   * @param room jobs that wait, 0 or more
   * @param workMs mean work of a job (ms of one core); drawn from an exponential distribution, at
   *     most ten times this
   * @param coldShare of the speed that a server has when it starts, above 0 and up to 1
   * @param warmMs until it has all of it
   */
  public record Size(
      double cores, int slots, int room, double workMs, double coldShare, double warmMs) {
    public Size {
      if (!(cores > 0
          && slots > 0
          && room >= 0
          && workMs > 0
          && coldShare > 0
          && coldShare <= 1
          && warmMs >= 0)) {
        throw new IllegalArgumentException(
            "a server's size is out of range: "
                + cores
                + " cores, "
                + slots
                + " slots, room "
                + room
                + ", work "
                + workMs
                + " ms, cold "
                + coldShare
                + " for "
                + warmMs
                + " ms");
      }
    }
  }

  /** A job that was taken. */
  public static final class Job {
    /** What it is for; the caller's. */
    public final Object context;

    private double remainingMs;

    private Job(Object context, double workMs) {
      this.context = context;
      remainingMs = workMs;
    }
  }

  private final Size size;
  private final Random random;
  private final double startedAtMs;
  private final List<Job> runningJobs = new ArrayList<>();
  private final ArrayDeque<Job> waitingJobs = new ArrayDeque<>();
  private final List<Job> completedJobs = new ArrayList<>();
  private double nowMs;
  private double neighbourShare;
  private double workDoneMs;

  /**
   * @param startedAtMs when the server started; negative infinity for long ago
   */
  public CapacityModel(Size size, long seed, double nowMs, double startedAtMs) {
    this.size = size;
    this.startedAtMs = startedAtMs;
    random = new Random(seed);
    this.nowMs = nowMs;
  }

  /** A job comes; null where the waiting room is full, and nothing has run then. */
  public Job offer(double atMs, Object context) {
    advance(atMs);
    if (runningJobs.size() >= size.slots && waitingJobs.size() >= size.room) {
      return null;
    }
    double workMs = Math.min(10 * size.workMs, -Math.log(1 - random.nextDouble()) * size.workMs);
    Job job = new Job(context, Math.max(1e-3, workMs));
    (runningJobs.size() < size.slots ? runningJobs : waitingJobs).add(job);
    return job;
  }

  /** A job is not wanted any more; what has run of it has run. */
  public void cancel(double atMs, Job job) {
    advance(atMs);
    if (!runningJobs.remove(job)) {
      waitingJobs.remove(job);
    }
    startWaitingJobs();
  }

  /** From now on a neighbour takes this share (0 to below 1) of the cores. */
  public void setNeighbourShare(double atMs, double share) {
    if (!(share >= 0 && share < 1)) {
      throw new IllegalArgumentException("a neighbour's share is out of range: " + share);
    }
    advance(atMs);
    neighbourShare = share;
  }

  /** When {@link #takeCompleted} may have something next; infinite where nothing runs. */
  public double nextCompletionMs() {
    if (!completedJobs.isEmpty()) {
      return nowMs;
    }
    double leastRemainingMs = NEVER;
    for (Job job : runningJobs) {
      leastRemainingMs = Math.min(leastRemainingMs, job.remainingMs);
    }
    return leastRemainingMs == NEVER
        ? NEVER
        : Math.min(nowMs + leastRemainingMs / workRatePerJob(), speedSteadyUntilMs());
  }

  /** The jobs that have ended since the last call, in the order in which they did. */
  public List<Job> takeCompleted(double atMs) {
    advance(atMs);
    List<Job> completed = List.copyOf(completedJobs);
    completedJobs.clear();
    return completed;
  }

  public int runningCount() {
    return runningJobs.size();
  }

  public int waitingCount() {
    return waitingJobs.size();
  }

  /** Work done so far (ms of one core). */
  public double workDoneMs(double atMs) {
    advance(atMs);
    return workDoneMs;
  }

  /** Of the cores that are there now, how much is in use: 0 to 1. */
  public double utilization() {
    return Math.min(1, runningJobs.size() / Math.max(MIN_WORK_MS, availableCores()));
  }

  private double availableCores() {
    return size.cores * (1 - neighbourShare);
  }

  /** A core's speed now, as a part of a warm one's. */
  private double speed() {
    double age = nowMs - startedAtMs;
    return age >= size.warmMs ? 1 : size.coldShare + (1 - size.coldShare) * age / size.warmMs;
  }

  /** Work that each running job gets in a ms. */
  private double workRatePerJob() {
    return speed() * Math.min(1, availableCores() / runningJobs.size());
  }

  /** Until when the speed is taken as steady. */
  private double speedSteadyUntilMs() {
    return nowMs - startedAtMs >= size.warmMs ? NEVER : nowMs + RAMP_STEP_MS;
  }

  /**
   * Lets the jobs run until this time; each step goes to the next end of a job or change of speed.
   */
  private void advance(double untilMs) {
    while (nowMs < untilMs) {
      if (runningJobs.isEmpty()) {
        nowMs = untilMs;
        return;
      }
      double leastRemainingMs = NEVER;
      for (Job job : runningJobs) {
        leastRemainingMs = Math.min(leastRemainingMs, job.remainingMs);
      }
      double rate = workRatePerJob();
      double stepEndMs =
          Math.min(Math.min(untilMs, speedSteadyUntilMs()), nowMs + leastRemainingMs / rate);
      boolean isJobEnd = stepEndMs >= nowMs + leastRemainingMs / rate;
      double workPerJobMs = isJobEnd ? leastRemainingMs : (stepEndMs - nowMs) * rate;
      workDoneMs += workPerJobMs * runningJobs.size();
      nowMs = Math.max(stepEndMs, Math.nextUp(nowMs));
      double negligibleMs =
          Math.max(MIN_WORK_MS, Math.ulp(nowMs) * rate); // less than the clock's next step can give
      for (Iterator<Job> jobs = runningJobs.iterator(); jobs.hasNext(); ) {
        Job job = jobs.next();
        job.remainingMs -= workPerJobMs;
        if (job.remainingMs <= negligibleMs) {
          jobs.remove();
          completedJobs.add(job);
        }
      }
      startWaitingJobs();
    }
  }

  private void startWaitingJobs() {
    while (runningJobs.size() < size.slots && !waitingJobs.isEmpty()) {
      runningJobs.add(waitingJobs.poll());
    }
  }
}
