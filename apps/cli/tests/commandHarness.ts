import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough, Writable } from "node:stream";
import {
  address,
  availabilityZoneId,
  entryHostId,
  hostId,
  incarnation,
  poolId,
  rackId,
  revision,
} from "@heatherferry/common";
import { HOST_PHASE, type HostRow, type MemberRow } from "@heatherferry/core";
import type { PlatformTable } from "@heatherferry/runners";
import FakeTimers from "@sinonjs/fake-timers";
import { CommandEnvironment } from "../src/commands/commandEnvironment.js";
import { OperatorCli } from "../src/operatorCli.js";
import type { MemoryTable } from "./memoryTable.js";

const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout", "performance", "Date"] });

export const SECRET = "s".repeat(43);

class TestEnvironment extends CommandEnvironment {
  private static invocations = 0;

  constructor(private readonly table: MemoryTable) {
    super();
  }

  override openTable(): PlatformTable {
    return this.table;
  }

  override newInvocation(): string {
    TestEnvironment.invocations += 1;
    return `run-${TestEnvironment.invocations}`;
  }

  override newSecret(): string {
    return SECRET;
  }
}

class TextCollector extends Writable {
  text = "";

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: () => void): void {
    this.text += chunk.toString();
    done();
  }
}

/** Exit code and output of a command. */
export interface CliResult {
  readonly exitCode: number;
  readonly out: string;
  readonly err: string;
}

const ENV = { HEATHERFERRY_PLATFORM: "http://127.0.0.1:1", USER: "ana" };

/** Runs one command line to its end while advancing the fake clock and the table's clock. */
export const runCli = async (
  table: MemoryTable,
  input: readonly string[],
  env: Record<string, string> = ENV,
): Promise<CliResult> => {
  const [stdout, stderr] = [new TextCollector(), new TextCollector()];
  const streams = { stdin: new PassThrough(), stdout, stderr, env };
  const ended: { exitCode: number | null } = { exitCode: null };
  const running = new OperatorCli(new TestEnvironment(table), streams).run(input).then((code) => {
    ended.exitCode = code;
  });
  while (ended.exitCode === null) {
    table.nowMs += 100;
    await Promise.race([running, clock.tickAsync(100)]);
  }
  return { exitCode: ended.exitCode, out: stdout.text, err: stderr.text };
};

export const RULES = `# the valley's fleet
team north share=3 limit=40 # Ana, council of March
team south share=1 limit=20 # Ben, council of March
pool dies hosts=die-* max-unavailable=2 max-unavailable-per-rack=1 # Luis
queue stamps pool=dies # Luis
wave spring pool=dies max-parallel=1 # Luis, winter leaks
`;

export const tempFile = (text: string): string => {
  const path = join(mkdtempSync(join(tmpdir(), "operator-")), "valley.rules");
  writeFileSync(path, text);
  return path;
};

export const readTempFile = (path: string): string => readFileSync(path, "utf8");

export const putRules = (table: MemoryTable, at = 1, text = RULES): void => {
  table.put("rules/head", {
    type: "rulesHead",
    revision: revision(at),
    text: `# revision ${at}\n${text}`,
    appliedBy: "ana",
    appliedAtMs: 0,
  });
};

export const putHost = (table: MemoryTable, name: string, fields: Partial<HostRow> = {}): void => {
  table.put(`host/a/${name}`, {
    type: "host",
    hostId: hostId(name),
    availabilityZone: availabilityZoneId("a"),
    rack: rackId("r1"),
    pool: poolId("dies"),
    address: address("127.0.0.1:9"),
    slots: 8,
    phase: HOST_PHASE.IN_SERVICE,
    drainEpoch: 0,
    drainReason: null,
    moveTo: null,
    waveId: null,
    ...fields,
  });
};

export const memberRow = (name: string, at: number, left = false): MemberRow => ({
  type: "member",
  entryHostId: entryHostId(name),
  availabilityZone: availabilityZoneId("a"),
  incarnation: incarnation("i1"),
  callerAddress: address("127.0.0.1:1"),
  peerAddress: address("127.0.0.1:2"),
  revisionInForce: revision(at),
  left,
  drained: [],
});
