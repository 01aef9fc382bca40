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

/** As the deploy file says. */
const RUNTIME_FLAGS = ["--max-old-space-size=192", "--max-semi-space-size=4"];

/** The metrics lie this far above the first of a node's own ports. */
const METRICS_PORT_OFFSET = 10;

const POLL_MS = 50;

/** A series of a metric, named as it is exposed, and its value. */
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

/** A real node as a process of its own. */
export class LoadedNode {
  private constructor(
    private readonly child: ChildProcess,
    private readonly readyAt: string,
    private readonly metricsAt: string,
    /** Where callers connect. */
    readonly callersAt: string,
  ) {}

  /**
   * @param name - The node's name.
   * @param storeAt - Where the store listens.
   * @param processorMilli - Processor that it believes to have, in thousandths of a core.
   * @param profileDir - Where the runtime writes a profile of its processor time; null for none.
   */
  static async start(
    name: string,
    storeAt: string,
    processorMilli: number,
    profileDir: string | null,
  ): Promise<LoadedNode> {
    const [callers, ready, own] = [await freePort(), await freePort(), await freePort()];
    const settingsPath = join(mkdtempSync(join(tmpdir(), "heatherferry-bench-")), "settings.toml");
    writeFileSync(
      settingsPath,
      `nodeName = "${name}"
ip = "127.0.0.1"
zone = "a"
internalPorts = [${own - METRICS_PORT_OFFSET}, ${own}]
[listenAddrs]
frontend = "127.0.0.1:${callers}"
ready = "127.0.0.1:${ready}"
[limits]
cores = 1
cpuShare = ${processorMilli / 1_000}
[platform]
address = "${storeAt}"
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
    return new LoadedNode(
      child,
      `http://127.0.0.1:${ready}/api/readyz`,
      `http://127.0.0.1:${own}/metrics`,
      `http://127.0.0.1:${callers}`,
    );
  }

  /** Until it is in rotation and an owner counts what is pending. */
  async untilReady(): Promise<void> {
    const owned = `${this.callersAt}/${SITE.POOLS[0]}/`;
    const headers = { host: SITE.CALLER_HOST, authorization: `Bearer ${SITE.SECRET}` };
    while (!(await this.answers(this.readyAt, {})) || !(await this.answers(owned, headers))) {
      await sleep(POLL_MS);
    }
  }

  async metrics(): Promise<Metrics> {
    const response = await request(this.metricsAt);
    return parseMetrics(await response.body.text());
  }

  /** Ends it, as a machine that is taken away would. */
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
      throw new Error(`The node has ended with ${this.child.exitCode}`);
    }
    try {
      const response = await request(url, { headers });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      // It does not listen yet.
      return false;
    }
  }
}
