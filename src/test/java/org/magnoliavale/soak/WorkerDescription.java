package org.magnoliavale.soak;

/** What a worker says of itself in the store and in its report. */
final class WorkerDescription {
  static final String MODEL = "model-1";
  private static final String MODELS =
      "\"born\":%d,\"models\":[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}]";

  private WorkerDescription() {}

  static String entry(String service, SoakWorker worker, long sequence) {
    return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"local","version":"v1","slots":%d,
        "state":"%s","cold-remaining-ms":0,"sequence":%d,%s}"""
        .formatted(
            service,
            worker.port(),
            SoakWorker.SLOTS,
            worker.state(),
            sequence,
            MODELS.formatted(worker.born()));
  }

  static String report(SoakWorker worker, int running) {
    return """
        {"stage":"prefill_and_decode","busy":false,"sequence":0,"waiting":0,"running":%d,\
        "kv-cache-used":0,"kv-cache-total":1000000,"handles":0,%s}"""
        .formatted(running, MODELS.formatted(worker.born()));
  }
}
