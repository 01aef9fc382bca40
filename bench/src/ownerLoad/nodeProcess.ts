import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { freePort } from "@heatherferry/standins";
import { request } from "undici";
import { SITE } from "./site.js";

const PROGRAM = fileURLToPath(new URL("../../../../apps/work/dist/src/main.js", import.meta.url));

/** Flags of the Node.js runtime in the deploy file. */
const RUNTIME_FLAGS = ["--max-old-space-size=192", "--max-semi-space-size=4"];

/** Offset of the metrics port from the first of a node's internal ports. */
const METRICS_PORT_OFFSET = 10;

const POLL_MS = 50;

/** Values of the metrics by series, with the series as exposed, including its labels. */
export type Metrics = ReadonlyMap<string, number>;

const parseMetrics = (text: string): Metrics =>
  new Map(
    text
      .split("\n")
      .filter((line) => line !== "" && !line.startsWith("#"))
      .map((line) => {
        const end = line.lastIndexOf(" ");
        return [line.slice(0, end), Number(line.slice(end + 1))];
      }),
  );

/** A node of the work app that runs as a child process. */
export class NodeProcess {
  private constructor(
    private readonly child: ChildProcess,
    private readonly readyUrl: string,
    private readonly metricsUrl: string,
    /** URL at which the node listens for callers. */
    readonly callerUrl: string,
  ) {}

  /**
   * Starts a node.
   *
   * @param name - The node's name.
   * @param storeAddress - Address of the store.
   * @param processorMilli - Processor limit in the node's settings, in thousandths of a core.
   * @param profileDir - Directory to which the runtime writes a CPU profile; null for none.
   */
  static async start(
    name: string,
    storeAddress: string,
    processorMilli: number,
    profileDir: string | null,
  ): Promise<NodeProcess> {
    const [callers, ready, internal] = [await freePort(), await freePort(), await freePort()];
    const settingsPath = join(mkdtempSync(join(tmpdir(), "heatherferry-bench-")), "settings.toml");
    writeFileSync(
      settingsPath,
      `nodeName = "${name}"
ip = "127.0.0.1"
zone = "a"
internalPorts = [${internal - METRICS_PORT_OFFSET}, ${internal}]
[listenAddrs]
frontend = "127.0.0.1:${callers}"
ready = "127.0.0.1:${ready}"
[limits]
cores = 1
cpuShare = ${processorMilli / 1_000}
[platform]
address = "${storeAddress}"
[bounds]
`,
    );
    const profile =
      profileDir === null
        ? []
        : ["--cpu-prof", `--cpu-prof-dir=${profileDir}`, `--cpu-prof-name=${name}.cpuprofile`];
    const child = spawn(
      process.execPath,
      [...RUNTIME_FLAGS, ...profile, PROGRAM, "--settings", settingsPath],
      { stdio: ["ignore", "ignore", "inherit"] },
    );
    return new NodeProcess(
      child,
      `http://127.0.0.1:${ready}/api/readyz`,
      `http://127.0.0.1:${internal}/metrics`,
      `http://127.0.0.1:${callers}`,
    );
  }

  /** Waits until the node is ready and an owner answers requests for the pending submissions. */
  async waitUntilReady(): Promise<void> {
    const pendingUrl = `${this.callerUrl}/${SITE.POOLS[0]}/`;
    const headers = { host: SITE.CALLER_HOST, authorization: `Bearer ${SITE.SECRET}` };
    while (!(await this.answers(this.readyUrl, {})) || !(await this.answers(pendingUrl, headers))) {
      await sleep(POLL_MS);
    }
  }

  async metrics(): Promise<Metrics> {
    const response = await request(this.metricsUrl);
    return parseMetrics(await response.body.text());
  }

  /** Sends SIGTERM, as the node gets when its host is reclaimed, and waits for its exit. */
  async stop(): Promise<void> {
    const ended = once(this.child, "exit");
    this.child.kill("SIGTERM");
    await ended;
  }

  kill(): void {
    this.child.kill("SIGKILL");
  }

  private async answers(url: string, headers: Record<string, string>): Promise<boolean> {
    if (this.child.exitCode !== null) {
      throw new Error(
        `The node exited with code ${this.child.exitCode} before it was ready; see its output on stderr`,
      );
    }
    try {
      const response = await request(url, { headers });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      // The node does not listen yet.
      return false;
    }
  }
}
