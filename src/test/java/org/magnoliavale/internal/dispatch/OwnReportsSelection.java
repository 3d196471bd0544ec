package org.magnoliavale.internal.dispatch;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Selects endpoints by the number of requests alone, from the reports in the answers to one
 * instance's own requests: the rule that the forecast is compared with.
 */
final class OwnReportsSelection implements LoadedFleet.Selection {
  private static final long REPORT_VALIDITY_MS = 2_000;
  private static final long OVERLOAD_PAUSE_MS = 100;
  private static final double REQUEST_MS = 4;
  private static final double RANDOM_FACTOR = 0.15;

  private final int instances;
  private final Random random;
  private final int[] inFlight;
  private final int[] inFlightAtReport;
  private final long[] reportNanos;
  private final long[] pausedUntilNanos;
  private final ReportedLoad[] reports;

  OwnReportsSelection(int endpoints, int instances, Random random) {
    this.instances = instances;
    this.random = random;
    inFlight = new int[endpoints];
    inFlightAtReport = new int[endpoints];
    reportNanos = new long[endpoints];
    pausedUntilNanos = new long[endpoints];
    reports = new ReportedLoad[endpoints];
  }

  @Override
  public int choose(LoadedFleet.Request request, long nowNanos) {
    int best = -1;
    double bestDelay = Double.MAX_VALUE;
    for (int i = 0; i < inFlight.length; i++) {
      double load = load(i, nowNanos);
      double overload = Math.max(0, load - LoadedFleet.SLOTS + 1);
      double delay = (1 + load * REQUEST_MS + overload * overload * REQUEST_MS);
      delay *= 1 + RANDOM_FACTOR * random.nextDouble();
      if (delay < bestDelay && nowNanos - pausedUntilNanos[i] >= 0) {
        best = i;
        bestDelay = delay;
      }
    }
    if (best >= 0) {
      inFlight[best]++;
    }
    return best;
  }

  private double load(int endpoint, long nowNanos) {
    long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - reportNanos[endpoint]);
    ReportedLoad report = reports[endpoint];
    if (report == null || ageMs > REPORT_VALIDITY_MS) {
      return (double) inFlight[endpoint] * instances;
    }
    int others = report.running() + report.waiting() - inFlightAtReport[endpoint];
    return Math.max(0, others) + inFlight[endpoint];
  }

  @Override
  public void reported(int endpoint, ReportedLoad load, long nowNanos) {
    reports[endpoint] = load;
    reportNanos[endpoint] = nowNanos;
    inFlightAtReport[endpoint] = inFlight[endpoint];
  }

  @Override
  public void event(LoadedFleet.Request request, long nowNanos) {}

  @Override
  public void ended(LoadedFleet.Request request, boolean rejected, long nowNanos) {
    inFlight[request.endpoint]--;
    if (rejected) {
      pausedUntilNanos[request.endpoint] =
          nowNanos + TimeUnit.MILLISECONDS.toNanos(OVERLOAD_PAUSE_MS);
    }
  }

  @Override
  public void tell(List<LoadedFleet.Selection> peers, boolean relayed, long nowNanos) {}
}
