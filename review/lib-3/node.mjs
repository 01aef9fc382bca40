// A process of the product, started by the command of the deploy file and started again when it ends,
// as the platform does.

import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { callJson, freePort } from "./http.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const RESTART_MS = 500;
const METRICS_OFFSET = 10;

/** The command under `run` of the deploy file, as words. */
const command = () => {
  const deploy = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const run = /^run = "([^"]+)"$/mu.exec(deploy)?.[1];
  if (run === undefined) {
    throw new Error("the deploy file has no command");
  }
  return run.split(" ");
};

/** Bounds of a small deployment (Tayside). */
const BOUNDS = `seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoveryS = 12
holdMaxMs = 6000
stopMs = 900
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 2
restoreMs = 100
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = true
leaseMs = 3000
thawMs = 300
pacingMs = 100
impactMs = 4000`;

const settingsOf = ({ name, zone, ports, storeAddress, hostsAddress }) => `nodeName = "${name}"
role = "work"
machineClass = "frontend"
serves = ["frontend","control"]
ip = "127.0.0.1"
zone = "${zone}"
region = "scot-east"
internalPorts = [${ports.metrics - METRICS_OFFSET},${ports.metrics}]
seedNodes = ["127.0.0.1:${ports.control}"]
bootstrap = true
lossCounts = false
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep","sharing"]
controlMode = "invocation"
[zones]
zone-a = "scot-east"
zone-b = "scot-east"
zone-c = "scot-east"
[listenAddrs]
frontend = "127.0.0.1:${ports.frontend}"
ready = "127.0.0.1:${ports.ready}"
controlPlane = "127.0.0.1:${ports.control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regionCount = 0
[bounds]
${BOUNDS}
[platform]
address = "${storeAddress}"
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 6.0
commitsPerS = 200
rowBytes = 65536
crossPartition = false
historyS = 20
[cloudApi]
address = "${hostsAddress}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
`;

export class Node {
  #child = null;
  #wanted = true;
  #wasReady = false;
  /** Ends of the process that no signal of the script brought about. */
  ownEnds = [];

  constructor(name, zone, storeAddress, hostsAddress, record) {
    Object.assign(this, { name, zone, storeAddress, hostsAddress, record });
  }

  async start() {
    const ports = {
      frontend: await freePort(),
      ready: await freePort(),
      control: await freePort(),
      metrics: await freePort(),
    };
    this.log?.end();
    this.address = `127.0.0.1:${ports.frontend}`;
    this.readyAddress = `127.0.0.1:${ports.ready}`;
    const folder = mkdtempSync(join(tmpdir(), "heatherferry-review-"));
    this.settings = join(folder, "settings.toml");
    this.log = createWriteStream(join(folder, "log.txt"));
    this.logPath = join(folder, "log.txt");
    const { name, zone, storeAddress, hostsAddress } = this;
    writeFileSync(this.settings, settingsOf({ name, zone, ports, storeAddress, hostsAddress }));
    this.#spawn();
  }

  get pid() {
    return this.#child?.pid ?? null;
  }

  #spawn() {
    const [program, ...args] = command();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, HEATHERFERRY_BOOT: this.settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    let killed = false;
    child.killByScript = (signal) => {
      killed ||= signal === "SIGKILL" || signal === "SIGTERM";
      child.kill(signal);
    };
    let messages = "";
    child.stderr.on("data", (text) => (messages += text));
    child.once("close", (code, signal) => {
      this.#child = null;
      if (!this.#wasReady && this.#wanted && messages.includes("EADDRINUSE")) {
        this.record("portTaken", { node: this.name });
        void this.start();
        return;
      }
      if (!killed) {
        this.ownEnds.push({ code, signal });
        this.record("processEndedByItself", { node: this.name, code, signal });
      }
      if (this.#wanted) {
        setTimeout(() => this.#wanted && this.#spawn(), RESTART_MS);
      }
    });
  }

  signal(signal) {
    this.record("signal", { node: this.name, signal });
    this.#child?.killByScript(signal);
  }

  /** Ends the process for good. */
  async end() {
    this.#wanted = false;
    const child = this.#child;
    if (child !== null) {
      const exited = new Promise((resolve) => child.once("exit", resolve));
      child.killByScript("SIGKILL");
      await exited;
    }
    this.log.end();
  }

  async isReady() {
    const { status } = await callJson(this.readyAddress, "GET", "/api/readyz", { timeoutMs: 500 });
    this.#wasReady ||= status === 200;
    return status === 200;
  }
}
