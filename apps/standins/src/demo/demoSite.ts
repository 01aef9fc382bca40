import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { rowKey, tableVersion } from "@heatherferry/common";
import type { HostRow } from "@heatherferry/core";
import { CALLER_HEADER, HttpPlatformTable } from "@heatherferry/runners";
import { Program } from "../processes/program.js";
import type { FleetTotals } from "../target/targetFleet.js";
import { DEMO_FLEET } from "./constants.js";

const mainModuleOf = (app: string): string =>
  fileURLToPath(new URL(`../../../../${app}/dist/src/main.js`, import.meta.url));

const getJson = async (url: string, init?: RequestInit): Promise<unknown> => {
  const response = await fetch(url, init);
  if (!response.ok) {
    throw new Error(`${url} responded with status ${response.status}`);
  }
  return response.json();
};

const listenerSection = (name: string): string => `[${name}]\nhost = "127.0.0.1"\nport = 0\n`;

/** Starts, controls and stops the processes of the demo. */
export class DemoSite {
  /** `host:port` of the caller listener of each entry host. */
  readonly callerAddresses: string[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), "heatherferry-demo-"));
  private readonly programs: Program[] = [];
  private readonly fleetOrigins: string[] = [];
  private origin = "";

  /** Starts the platform and the targets, and registers the targets with the platform. */
  async startPlatform(): Promise<void> {
    const platform = this.start("standins", ["platform"]);
    this.origin = `http://${await this.addressOf(platform, "address")}`;
    const hosts = await Promise.all(DEMO_FLEET.ZONES.map(async (zone) => this.startTargets(zone)));
    const body = JSON.stringify({ hosts: hosts.flat() });
    await getJson(`${this.origin}/control/hosts`, { method: "POST", body });
  }

  /** Starts the entry hosts of all zones and one maintainer in each zone. */
  async startDaemons(): Promise<void> {
    const entries = DEMO_FLEET.ZONES.flatMap((zone) =>
      Array.from({ length: DEMO_FLEET.ENTRY_HOSTS_PER_ZONE }, (_, index) => {
        const sections = [listenerSection("callers"), listenerSection("peers")];
        return this.startDaemon("entry", `entry-${zone}-${index + 1}`, zone, sections);
      }),
    );
    const maintainers = DEMO_FLEET.ZONES.map((zone) =>
      this.startDaemon("maintainer", `entry-${zone}-1`, zone, []),
    );
    await Promise.all(maintainers.map(async (program) => program.waitForLog("listening")));
    for (const entry of entries) {
      this.callerAddresses.push(await this.addressOf(entry, "callers"));
    }
  }

  /**
   * Runs an operator command of the `heatherferry` program.
   *
   * @param args - The command and its arguments.
   * @throws Error with the command's log lines when its exit code is not 0.
   */
  async runOperatorCommand(...args: readonly string[]): Promise<void> {
    const program = new Program(mainModuleOf("cli"), [...args, "--platform", this.origin]);
    const exitCode = await program.waitForExit();
    if (exitCode !== 0) {
      const output = program.records.map((record) => JSON.stringify(record)).join("\n");
      throw new Error(`heatherferry ${args.join(" ")} exited with code ${exitCode}: ${output}`);
    }
  }

  /** Writes a file to the demo's temporary folder and returns its path. */
  writeFile(name: string, text: string): string {
    const path = join(this.folder, name);
    writeFileSync(path, text);
    return path;
  }

  /** Reads the host rows of the platform's table. */
  async readHosts(): Promise<readonly HostRow[]> {
    const table = new HttpPlatformTable(this.origin, () => undefined);
    const range = { prefix: rowKey("host/"), afterVersion: tableVersion(0) };
    const { rows } = await table.read([range]).finally(async () => table.close());
    return rows.map(({ body }) => body).filter((body) => body.type === "host");
  }

  /** Whether every entry host answers a request to every service. */
  async servesAllQueues(secret: string): Promise<boolean> {
    const probes = this.callerAddresses.flatMap((callers) =>
      DEMO_FLEET.SERVICES.map(async (service) => {
        const url = `http://${callers}/queues/${service}/probe`;
        const response = await fetch(url, { headers: { authorization: `Bearer ${secret}` } });
        await response.arrayBuffer();
        return response.headers.get(CALLER_HEADER.OUTCOME) === "answered";
      }),
    );
    return (await Promise.all(probes)).every(Boolean);
  }

  /** Requests a reboot of a host from the platform, even if requests run on the host. */
  async reboot(hostId: string): Promise<void> {
    await getJson(`${this.origin}/v1/hosts/${hostId}/reboot`, { method: "POST" });
  }

  /** Fetches the totals of the targets, one entry for each availability zone. */
  async fetchTotals(): Promise<readonly FleetTotals[]> {
    const answers = this.fleetOrigins.map(async (origin) => getJson(`${origin}/control/runs`));
    return (await Promise.all(answers)) as FleetTotals[];
  }

  /** Kills all processes in reverse order of their start and removes the temporary folder. */
  async stop(): Promise<void> {
    for (const program of [...this.programs].reverse()) {
      await program.kill();
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startTargets(zone: string): Promise<readonly unknown[]> {
    const settings = [
      `[targets]\navailability_zone = "${zone}"`,
      `services = ${JSON.stringify(DEMO_FLEET.SERVICES)}`,
      `per_service = ${DEMO_FLEET.TARGETS_PER_SERVICE}\nslots = ${DEMO_FLEET.SLOTS}\n`,
    ].join("\n");
    const path = this.writeFile(`targets-${zone}.toml`, settings);
    const program = this.start("standins", ["target", "--settings", path]);
    const origin = `http://${await this.addressOf(program, "address")}`;
    this.fleetOrigins.push(origin);
    const { hosts } = (await getJson(`${origin}/control/hosts`)) as { hosts: unknown[] };
    return hosts;
  }

  private startDaemon(app: string, id: string, zone: string, sections: readonly string[]): Program {
    const node = `[node]\nid = "${id}"\navailability_zone = "${zone}"\n`;
    const platform = `[platform]\norigin = "${this.origin}"\n`;
    const text = [node, listenerSection("admin"), platform, ...sections].join("\n");
    return this.start(app, ["--settings", this.writeFile(`${app}-${id}.toml`, text)]);
  }

  private start(app: string, args: readonly string[]): Program {
    const program = new Program(mainModuleOf(app), args);
    this.programs.push(program);
    return program;
  }

  private async addressOf(program: Program, field: string): Promise<string> {
    const record = await program.waitForLog("listening");
    return String(record[field]);
  }
}
