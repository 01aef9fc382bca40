import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { join } from "node:path";
import { request } from "undici";
import { servicePort } from "../processes/servicePort.js";
import type { DeployedProgram } from "./deployFile.js";
import { nodeSettings } from "./nodeSettings.js";
import { endWithThisProcess } from "./ownProcesses.js";
import { ProcessorLimit } from "./processorLimit.js";
import type { StoreProxy } from "./storeProxy.js";

const RESTART_DELAY_MS = 300;
const READY_TIMEOUT_MS = 500;

/** Where a node runs and whom it talks to. */
export interface NodePlace {
  readonly name: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly folder: string;
  readonly storeAddress: string;
  readonly hostsAddress: string;
  /** Share of a processor that the process gets, in cores; null for no limit. */
  readonly cores: number | null;
}

/** A real process of the product, restarted whenever it ends. */
export class WorkNode {
  private child: ChildProcess | null = null;
  private isWanted = true;
  private restartTimer: NodeJS.Timeout | null = null;
  private restartDelayMs: number = RESTART_DELAY_MS;
  private limit: ProcessorLimit | null = null;
  private isSuspended = false;
  private readonly log: WriteStream;
  /** `host:port` for callers. */
  callerAddress = "";
  private readyAddress = "";

  constructor(
    private readonly program: DeployedProgram,
    readonly place: NodePlace,
    readonly proxy: StoreProxy,
  ) {
    this.log = createWriteStream(join(place.folder, `${place.name}.log`));
  }

  get name(): string {
    return this.place.name;
  }

  get isRunning(): boolean {
    return this.child !== null;
  }

  /** Chooses addresses, writes the settings and starts the process. */
  async start(): Promise<void> {
    const [callers, ready, internal] = [
      await servicePort(),
      await servicePort(),
      await servicePort(),
    ];
    this.callerAddress = `127.0.0.1:${callers}`;
    this.readyAddress = `127.0.0.1:${ready}`;
    const settings = nodeSettings(this.place, this.callerAddress, this.readyAddress, internal);
    writeFileSync(this.settingsPath, settings);
    this.spawn();
  }

  /** Whether the node reports that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const answer = await request(`http://${this.readyAddress}/api/readyz`, {
        headersTimeout: READY_TIMEOUT_MS,
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Lets the process stand still, or go on. */
  suspend(suspended: boolean): void {
    this.isSuspended = suspended;
    this.signal(suspended ? "SIGSTOP" : "SIGCONT");
  }

  /** Kills the process, which starts again after some time. */
  kill(downMs: number): void {
    this.restartDelayMs = Math.max(RESTART_DELAY_MS, downMs);
    this.signal("SIGKILL");
  }

  /** Kills the process for good. */
  async end(): Promise<void> {
    this.isWanted = false;
    clearTimeout(this.restartTimer ?? undefined);
    const { child } = this;
    if (child !== null) {
      const exited = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGKILL");
      await exited;
    }
    this.proxy.close();
    this.log.end();
  }

  private get settingsPath(): string {
    return join(this.place.folder, `${this.place.name}.toml`);
  }

  private spawn(): void {
    const { folder, program, args } = this.program;
    const child = spawn(program, args, {
      cwd: folder,
      env: { ...process.env, HEATHERFERRY_BOOT: this.settingsPath },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.child = child;
    endWithThisProcess(child);
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    const { cores } = this.place;
    if (cores !== null && child.pid !== undefined) {
      this.limit = new ProcessorLimit(child.pid, cores, () => !this.isSuspended);
    }
    child.once("exit", (code, signal) => {
      this.child = null;
      this.isSuspended = false;
      this.limit?.end();
      this.log.write(`${JSON.stringify({ event: "soak.processEnded", code, signal })}\n`);
      if (this.isWanted) {
        this.restartTimer = setTimeout(() => {
          this.spawn();
        }, this.restartDelayMs);
        this.restartDelayMs = RESTART_DELAY_MS;
      }
    });
  }
}
