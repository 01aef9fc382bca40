import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { InstantHostPower, PlatformStandIn, type Program } from "@heatherferry/standins";
import {
  addressIn,
  writeFleetRows,
  isReady,
  SECRET,
  settingsText,
  startEntryProgram,
  until,
} from "./fixture.js";

/** Target that delays, truncates or omits its answer, depending on the request's path. */
export interface TestTarget {
  readonly server: Server;
  readonly address: string;
  readonly paths: string[];
  /** Delayed responses, which the test ends. */
  readonly heldResponses: ServerResponse[];
}

export const startTarget = async (): Promise<TestTarget> => {
  const paths: string[] = [];
  const held: ServerResponse[] = [];
  const server = createServer((request, response) => {
    paths.push(request.url ?? "");
    request.resume();
    if (request.url === "/held") {
      held.push(response);
      return;
    }
    if (request.url === "/forgotten") {
      return;
    }
    if (request.url === "/cut") {
      response.writeHead(200, { "content-length": "100" });
      response.write("short", () => response.destroy());
      return;
    }
    response.end(`answer to ${request.url ?? ""}`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { address, port } = server.address() as AddressInfo;
  return { server, address: `${address}:${port}`, paths, heldResponses: held };
};

/** Processes of two zones, each with an entry host and targets. */
export interface Site {
  readonly platform: PlatformStandIn;
  readonly targets: readonly TestTarget[];
  readonly entries: readonly Program[];
  readonly callers: readonly string[];
  readonly admins: readonly string[];
  /** Starts another entry host in a zone under the same id, and returns its callers' address. */
  readonly startEntry: (zone: string) => Promise<string>;
}

/** Options of the processes of a site. */
export interface SiteOptions {
  readonly zones?: readonly string[];
  /** Lines that are added to the settings of the entry hosts. */
  readonly furtherSettings?: readonly string[];
  /** Options of the Node.js runtime of the entry hosts. */
  readonly runtimeOptions?: readonly string[];
}

export const startSite = async (
  targetsPerZone = 1,
  { zones = ["a", "b"], furtherSettings = [], runtimeOptions = [] }: SiteOptions = {},
): Promise<Site> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  await platform.listen();
  const targetZones = zones.flatMap((zone) => Array.from({ length: targetsPerZone }, () => zone));
  const targets = await Promise.all(targetZones.map(async () => startTarget()));
  await writeFleetRows(
    platform.origin,
    targets.map(({ address }, index) => {
      const zone = targetZones[index] ?? "a";
      return { name: `register-${zone}${index}`, zone, address };
    }),
  );
  const entries: Program[] = [];
  const start = async (zone: string): Promise<{ callers: string; admin: string }> => {
    const settings = [settingsText(`e-${zone}1`, zone, platform.origin), ...furtherSettings];
    const entry = startEntryProgram(settings.join("\n"), runtimeOptions);
    entries.push(entry);
    const record = await entry.waitForLog("listening");
    const admin = addressIn(record, "admin");
    await until(() => isReady(admin), "the entry host to be ready");
    return { callers: addressIn(record, "callers"), admin };
  };
  const started = await Promise.all(zones.map(start));
  return {
    platform,
    targets,
    entries,
    callers: started.map(({ callers }) => callers),
    admins: started.map(({ admin }) => admin),
    startEntry: async (zone) => (await start(zone)).callers,
  };
};

export const stopSite = async (site: Site): Promise<void> => {
  await Promise.all(site.entries.map(async (entry) => entry.kill()));
  site.targets.forEach(({ server }) => {
    server.closeAllConnections();
    server.close();
  });
  await site.platform.close();
};

/** Sends a request with a key to an entry host. */
export const sendRequest = async (
  callers: string | undefined,
  path: string,
  key = SECRET,
  headers: Record<string, string> = {},
): Promise<Response> =>
  fetch(`http://${callers ?? ""}/queues/register${path}`, {
    headers: { authorization: `Bearer ${key}`, ...headers },
  });
