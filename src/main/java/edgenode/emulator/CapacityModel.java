package edgenode.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;

/**
 * The capacity of an app server: processor sharing over some cores, a queue, a warm-up after the
 * start. No I/O: time (ms, never decreasing) is an argument and chance comes from the seed, so the
 * same calls give the same results. Not safe for use by several threads.
 *
 * <p>Up to {@code slots} jobs run at once and share {@code cores} cores evenly, none faster than
 * one core (generalised processor sharing; Parekh and Gallager 1993); up to {@code room} more wait
 * in order. A server that has just started works at {@code coldShare} of its speed, which grows
 * linearly to full speed over {@code warmMs}. A noisy neighbour takes a share of the cores. An
 * event costs O(running jobs).
 */
public final class CapacityModel {
  /** During the warm-up the speed is updated in steps of this length. */
  private static final double RAMP_STEP_MS = 50;

  private static final double NEVER = Double.POSITIVE_INFINITY;

  /** Remaining work (ms of one core) that counts as none. */
  private static final double MIN_WORK_MS = 1e-9;

  /**
   * The size of a server. The names of the components are part of the digests of scenario runs.
   *
   * @param cores how many, above 0
   * @param slots jobs that run at once, 1 or more
   * @param room jobs that wait, 0 or more
   * @param workMs mean work of a job (ms of one core); drawn from an exponential distribution, at
   *     most ten times this
   * @param coldShare share of the full speed at the start, above 0 and up to 1
   * @param warmMs time until full speed
   */
  public record Size(
      double cores, int slots, int room, double workMs, double coldShare, double warmMs) {
    /** Checks the ranges. */
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

  /** A job that was accepted. */
  public static final class Job {
    /** The caller's own object for the job. */
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
   * Creates an idle server.
   *
   * @param startedAtMs when the server started; negative infinity for long ago
   */
  public CapacityModel(Size size, long seed, double nowMs, double startedAtMs) {
    this.size = size;
    this.startedAtMs = startedAtMs;
    random = new Random(seed);
    this.nowMs = nowMs;
  }

  /** Accepts a job and returns it; null where the queue is full, and then nothing has run. */
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

  /** Cancels a job; the work that it has done stays done. */
  public void cancel(double atMs, Job job) {
    advance(atMs);
    if (!runningJobs.remove(job)) {
      waitingJobs.remove(job);
    }
    startWaitingJobs();
  }

  /** A noisy neighbour takes this share (0 to below 1) of the cores from now on. */
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

  /** The jobs that have completed since the last call, in the order of completion. */
  public List<Job> takeCompleted(double atMs) {
    advance(atMs);
    List<Job> completed = List.copyOf(completedJobs);
    completedJobs.clear();
    return completed;
  }

  /** Jobs that run now. */
  public int runningCount() {
    return runningJobs.size();
  }

  /** Jobs in the queue. */
  public int waitingCount() {
    return waitingJobs.size();
  }

  /** Work done so far (ms of one core). */
  public double workDoneMs(double atMs) {
    advance(atMs);
    return workDoneMs;
  }

  /** The part of the available cores that is in use: 0 to 1. */
  public double utilization() {
    return Math.min(1, runningJobs.size() / Math.max(MIN_WORK_MS, availableCores()));
  }

  private double availableCores() {
    return size.cores * (1 - neighbourShare);
  }

  /** The speed of a core now, relative to a warm one. */
  private double speed() {
    double age = nowMs - startedAtMs;
    return age >= size.warmMs ? 1 : size.coldShare + (1 - size.coldShare) * age / size.warmMs;
  }

  /** Work (ms of one core) that each running job gets in a ms. */
  private double workRatePerJob() {
    return speed() * Math.min(1, availableCores() / runningJobs.size());
  }

  /** Until when the speed counts as steady. */
  private double speedSteadyUntilMs() {
    return nowMs - startedAtMs >= size.warmMs ? NEVER : nowMs + RAMP_STEP_MS;
  }

  /** Runs the jobs until this time; each step ends at the next completion or change of speed. */
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
          Math.max(MIN_WORK_MS, Math.ulp(nowMs) * rate); // less work than one step of the clock
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
