import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { InstantHostPower, PlatformStandIn, type Program } from "@heatherferry/standins";
import test from "ava";
import {
  addressIn,
  fillTable,
  isReady,
  SECRET,
  settingsText,
  startEntryProgram,
  until,
} from "./helpers/fixture.js";

interface TestTarget {
  readonly server: Server;
  readonly address: string;
  readonly paths: string[];
  /** Requests held back until the test lets them go. */
  readonly held: ServerResponse[];
}

const startTarget = async (): Promise<TestTarget> => {
  const paths: string[] = [];
  const held: ServerResponse[] = [];
  const server = createServer((request, response) => {
    paths.push(request.url ?? "");
    request.resume();
    if (request.url === "/held") {
      held.push(response);
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
  return { server, address: `${address}:${port}`, paths, held };
};

interface Site {
  readonly platform: PlatformStandIn;
  readonly targets: readonly TestTarget[];
  readonly entries: readonly Program[];
  readonly callers: readonly string[];
}

const startSite = async (): Promise<Site> => {
  const platform = new PlatformStandIn(new InstantHostPower());
  await platform.listen();
  const targets = await Promise.all([startTarget(), startTarget()]);
  const zones = ["a", "b"];
  await fillTable(
    platform.origin,
    targets.map(({ address }, index) => {
      const zone = zones[index] ?? "a";
      return { name: `register-${zone}1`, zone, address };
    }),
  );
  const entries = zones.map((zone) =>
    startEntryProgram(settingsText(`e-${zone}1`, zone, platform.origin)),
  );
  const records = await Promise.all(entries.map(async (entry) => entry.logged("listening")));
  for (const record of records) {
    await until(() => isReady(addressIn(record, "admin")), "the entry host to be ready");
  }
  return { platform, targets, entries, callers: records.map((one) => addressIn(one, "callers")) };
};

const stopSite = async (site: Site): Promise<void> => {
  await Promise.all(site.entries.map(async (entry) => entry.kill()));
  site.targets.forEach(({ server }) => {
    server.closeAllConnections();
    server.close();
  });
  await site.platform.close();
};

const ask = async (callers: string | undefined, path: string, key = SECRET): Promise<Response> =>
  fetch(`http://${callers ?? ""}/queues/register${path}`, {
    headers: { authorization: `Bearer ${key}` },
  });

test.serial("a request goes through each zone's entry host to a target and back", async (t) => {
  const site = await startSite();
  for (const [index, callers] of site.callers.entries()) {
    const response = await ask(callers, "/lot/7?x=1");
    t.is(response.headers.get("heatherferry-outcome"), "answered");
    t.is(await response.text(), "answer to /lot/7?x=1");
    t.deepEqual(site.targets[index]?.paths, ["/lot/7?x=1"]);
  }
  const refused = await ask(site.callers[0], "/lot/8", "no-such-key");
  t.is(refused.status, 403);
  t.is(refused.headers.get("heatherferry-outcome"), "not-run");
  const withoutQueue = await fetch(`http://${site.callers[0] ?? ""}/queues/nope/x`);
  t.is(withoutQueue.status, 404);
  await stopSite(site);
});

test.serial("an answer that the target cuts short never looks whole", async (t) => {
  const site = await startSite();
  await t.throwsAsync(async () => {
    const response = await ask(site.callers[0], "/cut");
    await response.text();
  });
  await stopSite(site);
});

test.serial("a stop by SIGTERM finishes what runs, takes nothing new, and ends", async (t) => {
  const site = await startSite();
  const [entry] = site.entries;
  const [target] = site.targets;
  const running = ask(site.callers[0], "/held");
  await until(async () => Promise.resolve(target?.held.length === 1), "the request to run");
  entry?.signal("SIGTERM");
  await entry?.logged("shuttingDown");
  const late = await ask(site.callers[0], "/late");
  t.is(late.headers.get("heatherferry-outcome"), "not-run");
  target?.held[0]?.end("held answer");
  const response = await running;
  t.is(await response.text(), "held answer");
  t.is(await entry?.ended(), 0);
  await stopSite(site);
});

test.serial("settings with an unknown key start nothing and end with code 2", async (t) => {
  const text = settingsText("e-1", "a", "http://127.0.0.1:1").replace("port = 0", "prt = 0");
  const entry = startEntryProgram(text);
  t.is(await entry.ended(), 2);
  const [line] = entry.records;
  t.regex(String(line?.text), /entry\.toml: .*callers\.port.*unknown key callers\.prt/);
});
