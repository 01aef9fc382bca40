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
const QUEUED = 400;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const sayFigure = (name: string, value: number, unit: string): void => {
  say(`${name.padEnd(58)} ${value.toFixed(2).padStart(12)} ${unit}`);
};

const zoneNode = (): BenchNode => {
  const node = new BenchNode();
  node.readRows(zoneRows());
  node.join();
  return node;
};

const keepFresh = (node: BenchNode): void => {
  node.nowMs += 1;
  if (node.nowMs % 1_000 === 0) {
    node.readRows([]);
  }
};

const measureRequests = (): void => {
  const served = zoneNode();
  const servedUs = microsecondsEach(CALLS, (index) => {
    served.answer(served.arrive(index));
  });
  if (served.state.requests.counters.answered === 0) {
    throw new Error("No request was served: the figure would be that of another path");
  }
  sayFigure("request served at once: arrived, began, completed", servedUs, "µs");

  const waiting = zoneNode();
  let next = 0;
  for (; next < DESIGN_SIZE.HOSTS_A_ZONE * 8; next += 1) {
    waiting.arrive(next);
  }
  const cancelUs = microsecondsEach(CALLS, (index) => {
    const requestId = waiting.arrive(next + index);
    waiting.handle({ type: "request/cancelled", requestId });
  });
  sayFigure("request that waits and is cancelled, all slots full", cancelUs, "µs");

  const refused = zoneNode();
  refused.nowMs += 60_000;
  const refuseUs = microsecondsEach(CALLS, (index) => {
    refused.arrive(index);
  });
  sayFigure("request refused: rules' view too old", refuseUs, "µs");
};

const measureTicks = (): void => {
  const idle = zoneNode();
  const idleUs = microsecondsEach(FEW_CALLS * 10, () => {
    keepFresh(idle);
    idle.handle({ type: "clock/ticked" });
  });
  sayFigure("clock tick, idle", idleUs, "µs");
  const full = zoneNode();
  for (let index = 0; index < DESIGN_SIZE.HOSTS_A_ZONE * 8 + QUEUED * 52; index += 1) {
    full.arrive(index);
  }
  const fullUs = microsecondsEach(FEW_CALLS, () => {
    full.handle({ type: "clock/ticked" });
  });
  sayFigure(`clock tick, all pools full and queueing`, fullUs, "µs");
};

const measureReads = (): void => {
  const node = zoneNode();
  let version = 10_000;
  const emptyUs = microsecondsEach(CALLS, () => {
    node.readRows([]);
  });
  sayFigure("table read without news", emptyUs, "µs");
  const memberUs = microsecondsEach(FEW_CALLS, () => {
    version += 1;
    node.readRows([memberRowAt(version % 9, version)]);
  });
  sayFigure("table read with one heartbeat", memberUs, "µs");
  const hostUs = microsecondsEach(FEW_CALLS, () => {
    version += 1;
    node.readRows([hostRowAt(version % DESIGN_SIZE.HOSTS_A_ZONE, version)]);
  });
  sayFigure("table read with one changed host", hostUs, "µs");
  const text = designRules();
  const parseUs = microsecondsEach(FEW_CALLS / 10, () => {
    parseRules(text);
  });
  sayFigure(`rules of the design size (${text.length} bytes) parsed`, parseUs, "µs");
  const rulesUs = microsecondsEach(FEW_CALLS / 10, () => {
    version += 1;
    node.readRows([rulesHeadRow(version, text)]);
  });
  sayFigure("table read with new rules put in force", rulesUs, "µs");
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
  sayFigure("heap per mirrored host with its target", hostBytes, "bytes");
  const memberBytes = heapBytesEach(
    2_000,
    mirrored((index) => memberRowAt(index, index + 1)),
  );
  sayFigure("heap per mirrored heartbeat", memberBytes, "bytes");
  const rulesBytes = heapBytesEach(1, () => parseRules(designRules()));
  sayFigure("heap of the parsed rules", rulesBytes, "bytes");
  const node = zoneNode();
  const requestBytes = heapBytesEach(20_000, (count) => {
    for (let index = 0; index < count; index += 1) {
      node.arrive(index);
    }
    return node;
  });
  sayFigure("heap per open request", requestBytes, "bytes");
};

const measureBytes = (): void => {
  const encoded = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));
  sayFigure("row of a host, as JSON", encoded(hostRowAt(1, 1)), "bytes");
  sayFigure("row of a heartbeat, as JSON", encoded(memberRowAt(1, 1)), "bytes");
  sayFigure("row of the rules, as JSON", encoded(rulesHeadRow(1, designRules())), "bytes");
};

const measureContainers = (): void => {
  const open = new Map(Array.from({ length: 1_000 }, (_unused, index) => [index, index]));
  const inPlaceUs = microsecondsEach(CALLS, (index) => {
    open.set(index + 1_000, index);
    open.delete(index + 1_000);
  });
  sayFigure("map of 1,000 open requests changed in place", inPlaceUs, "µs");
  const copyUs = microsecondsEach(FEW_CALLS, (index) => {
    const changed = new Map(open);
    changed.set(index + 1_000, index);
    new Map(changed).delete(index + 1_000);
  });
  sayFigure("the same by copies", copyUs, "µs");
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
    measureSubmissions(say);
  },
} as const;

const asked = process.argv.slice(2);
for (const [name, measurePart] of Object.entries(PARTS)) {
  if (asked.length === 0 || asked.includes(name)) {
    measurePart();
  }
}
