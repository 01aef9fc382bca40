import { parentPort, workerData } from "node:worker_threads";
import { encodeIntoCompressedBase64 } from "hdr-histogram-js";
import { latencyHistogram, LoadGenerator } from "./load.js";
import type { LoadCommand, LoadReport, LoadWorkerData } from "./loadMessages.js";

const { origin, path, headers } = workerData as LoadWorkerData;
const generator = new LoadGenerator(origin, path, headers);

const execute = async (command: LoadCommand): Promise<LoadReport> => {
  const latencies = latencyHistogram();
  let answered = 0;
  if (command.type === "keepBusy") {
    answered = await generator.keepBusy(command.forMs);
  } else {
    await generator.sendAtRate(command.perSecond, command.forMs, latencies);
    answered = latencies.totalCount;
  }
  const { failures } = generator;
  return { answered, failures, latencies: encodeIntoCompressedBase64(latencies) };
};

parentPort?.on("message", (command: LoadCommand) => {
  void execute(command).then((report) => parentPort?.postMessage(report));
});
