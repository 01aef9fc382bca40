import { rowKey } from "@heatherferry/common";
import { mirrorPrefix, type TableRow } from "@heatherferry/core";
import { parseRules } from "@heatherferry/rules";
import { BenchNode } from "./benchNode.js";
import { designRules, hostRowAt, memberRowAt, rulesHeadRow, zoneRows } from "./designRows.js";
import { DESIGN_SIZE } from "./designSize.js";
import { heapBytesEach } from "./heap.js";
import { measureSubmissions } from "./submissions.js";
import { microsecondsEach } from "./timing.js";

const CALLS = 20_000;
const FEW_CALLS = 200;
const QUEUED_PER_POOL = 400;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const printFigure = (name: string, value: number, unit: string): void => {
  print(`${name.padEnd(58)} ${value.toFixed(2).padStart(12)} ${unit}`);
};

const zoneNode = (): BenchNode => {
  const node = new BenchNode();
  node.readRows(zoneRows());
  node.join();
  return node;
};

const advanceClock = (node: BenchNode): void => {
  node.nowMs += 1;
  if (node.nowMs % 1_000 === 0) {
    node.readRows([]);
  }
};

const measureRequests = (): void => {
  const serving = zoneNode();
  const servedUs = microsecondsEach(CALLS, (index) => {
    serving.completeRequest(serving.receiveRequest(index));
  });
  if (serving.state.requests.counters.answered === 0) {
    throw new Error(
      "No request was served, so the time of another code path was measured; check that the rows give the node free slots and a grant",
    );
  }
  printFigure("request served at once: arrival, answer, completion", servedUs, "µs");

  const waiting = zoneNode();
  let next = 0;
  for (; next < DESIGN_SIZE.HOSTS_PER_ZONE * 8; next += 1) {
    waiting.receiveRequest(next);
  }
  const cancelUs = microsecondsEach(CALLS, (index) => {
    const requestId = waiting.receiveRequest(next + index);
    waiting.handle({ type: "request/cancelled", requestId });
  });
  printFigure("queued request, then cancelled; all slots in use", cancelUs, "µs");

  const refused = zoneNode();
  refused.nowMs += 60_000;
  const refuseUs = microsecondsEach(CALLS, (index) => {
    refused.receiveRequest(index);
  });
  printFigure("request refused: view of the rules is too old", refuseUs, "µs");
};

const measureTicks = (): void => {
  const idle = zoneNode();
  const idleUs = microsecondsEach(FEW_CALLS * 10, () => {
    advanceClock(idle);
    idle.handle({ type: "clock/ticked" });
  });
  printFigure("clock tick, idle", idleUs, "µs");
  const full = zoneNode();
  for (let index = 0; index < DESIGN_SIZE.HOSTS_PER_ZONE * 8 + QUEUED_PER_POOL * 52; index += 1) {
    full.receiveRequest(index);
  }
  const fullUs = microsecondsEach(FEW_CALLS, () => {
    full.handle({ type: "clock/ticked" });
  });
  printFigure(`clock tick, all slots in use and all queues filled`, fullUs, "µs");
};

const measureReads = (): void => {
  const node = zoneNode();
  let version = 10_000;
  const emptyUs = microsecondsEach(CALLS, () => {
    node.readRows([]);
  });
  printFigure("table read without changed rows", emptyUs, "µs");
  const memberUs = microsecondsEach(FEW_CALLS, () => {
    version += 1;
    node.readRows([memberRowAt(version % 9, version)]);
  });
  printFigure("table read with one heartbeat", memberUs, "µs");
  const hostUs = microsecondsEach(FEW_CALLS, () => {
    version += 1;
    node.readRows([hostRowAt(version % DESIGN_SIZE.HOSTS_PER_ZONE, version)]);
  });
  printFigure("table read with one changed host", hostUs, "µs");
  const text = designRules();
  const parseUs = microsecondsEach(FEW_CALLS / 10, () => {
    parseRules(text);
  });
  printFigure(`rules of the design size (${text.length} bytes) parsed`, parseUs, "µs");
  const rulesUs = microsecondsEach(FEW_CALLS / 10, () => {
    version += 1;
    node.readRows([rulesHeadRow(version, text)]);
  });
  printFigure("table read with new rules, which are applied", rulesUs, "µs");
};

const mirrored = (makeRow: (index: number) => TableRow) => (count: number) => {
  const node = new BenchNode();
  mirrorPrefix(node.state, rowKey("host/"));
  node.readRows(Array.from({ length: count }, (_unused, index) => makeRow(index)));
  return node;
};

const measureHeap = (): void => {
  const hostBytes = heapBytesEach(
    11_000,
    mirrored((index) => hostRowAt(index, index + 1)),
  );
  printFigure("heap per mirrored host with its target", hostBytes, "bytes");
  const memberBytes = heapBytesEach(
    2_000,
    mirrored((index) => memberRowAt(index, index + 1)),
  );
  printFigure("heap per mirrored heartbeat", memberBytes, "bytes");
  const rulesBytes = heapBytesEach(1, () => parseRules(designRules()));
  printFigure("heap of the parsed rules", rulesBytes, "bytes");
  const node = zoneNode();
  const requestBytes = heapBytesEach(20_000, (count) => {
    for (let index = 0; index < count; index += 1) {
      node.receiveRequest(index);
    }
    return node;
  });
  printFigure("heap per open request", requestBytes, "bytes");
};

const measureBytes = (): void => {
  const encoded = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
  printFigure("row of a host, as JSON", encoded(hostRowAt(1, 1)), "bytes");
  printFigure("row of a heartbeat, as JSON", encoded(memberRowAt(1, 1)), "bytes");
  printFigure("row of the rules, as JSON", encoded(rulesHeadRow(1, designRules())), "bytes");
};

const measureContainers = (): void => {
  const open = new Map(Array.from({ length: 1_000 }, (_unused, index) => [index, index]));
  const inPlaceUs = microsecondsEach(CALLS, (index) => {
    open.set(index + 1_000, index);
    open.delete(index + 1_000);
  });
  printFigure("map of 1,000 open requests changed in place", inPlaceUs, "µs");
  const copyUs = microsecondsEach(FEW_CALLS, (index) => {
    const changed = new Map(open);
    changed.set(index + 1_000, index);
    new Map(changed).delete(index + 1_000);
  });
  printFigure("the same map copied for each change", copyUs, "µs");
};

const PARTS = {
  control: () => {
    measureRequests();
    measureTicks();
    measureReads();
    measureHeap();
    measureBytes();
    measureContainers();
  },
  submissions: () => {
    measureSubmissions(print);
  },
} as const;

const requestedParts = process.argv.slice(2);
for (const [name, measurePart] of Object.entries(PARTS)) {
  if (requestedParts.length === 0 || requestedParts.includes(name)) {
    measurePart();
  }
}
