import { parentPort, workerData } from "node:worker_threads";
import { encodeIntoCompressedBase64 } from "hdr-histogram-js";
import { latencyHistogram, LoadGenerator } from "./load.js";
import type { LoadOrder, LoadReport, LoadWorkerData } from "./loadMessages.js";

const { origin, path, headers } = workerData as LoadWorkerData;
const generator = new LoadGenerator(origin, path, headers);

const carryOut = async (order: LoadOrder): Promise<LoadReport> => {
  const latencies = latencyHistogram();
  let answered = 0;
  if (order.type === "keepBusy") {
    answered = await generator.keepBusy(order.forMs);
  } else {
    await generator.sendAtRate(order.perSecond, order.forMs, latencies);
    answered = latencies.totalCount;
  }
  const { failures } = generator;
  return { answered, failures, latencies: encodeIntoCompressedBase64(latencies) };
};

parentPort?.on("message", (order: LoadOrder) => {
  void carryOut(order).then((report) => parentPort?.postMessage(report));
});
