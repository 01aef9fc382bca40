import { spawn, type ChildProcessByStdio } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { fileURLToPath } from "node:url";
import test from "ava";

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));

const SETTINGS = `
[node]
id = "e1"
availability_zone = "a"
[admin]
host = "127.0.0.1"
port = 0
[platform]
origin = "http://127.0.0.1:1"
`;

type Maintainer = ChildProcessByStdio<null, null, Readable>;

const start = (settings: string): Maintainer => {
  const path = join(mkdtempSync(join(tmpdir(), "maintainer-")), "maintainer.toml");
  writeFileSync(path, settings);
  const stdio: ["ignore", "ignore", "pipe"] = ["ignore", "ignore", "pipe"];
  return spawn(process.execPath, [MAIN, "--settings", path], { stdio });
};

const adminAddress = async (maintainer: Maintainer): Promise<string> => {
  for await (const line of createInterface({ input: maintainer.stderr })) {
    const fields = JSON.parse(line) as { event: string; admin?: string };
    if (fields.event === "listening" && fields.admin !== undefined) {
      return fields.admin;
    }
  }
  throw new Error("The maintainer exited before it logged its admin address");
};

test("settings with an unknown key prevent the start and exit with code 2", async (t) => {
  const maintainer = start(`${SETTINGS}\n[log]\nlevle = "info"\n`);
  const text = (await maintainer.stderr.toArray()).join("");
  t.is(maintainer.exitCode ?? (await once(maintainer, "exit"))[0], 2);
  t.regex(text, /unknown key log\.levle/);
  t.notRegex(text, /listening/);
});

test("a maintainer whose platform is down is live, not ready, and exits cleanly", async (t) => {
  const maintainer = start(SETTINGS);
  const exited = once(maintainer, "exit");
  const admin = await adminAddress(maintainer);
  t.is((await fetch(`http://${admin}/livez`)).status, 200);
  t.is((await fetch(`http://${admin}/readyz`)).status, 503);
  t.regex(await (await fetch(`http://${admin}/metrics`)).text(), /heatherferry_events_total/);
  maintainer.kill("SIGTERM");
  t.is((await exited)[0], 0);
});

test("a maintainer exits on SIGHUP", async (t) => {
  const maintainer = start(SETTINGS);
  const exited = once(maintainer, "exit");
  const admin = await adminAddress(maintainer);
  maintainer.kill("SIGHUP");
  t.is((await fetch(`http://${admin}/livez`)).status, 200);
  maintainer.kill("SIGTERM");
  t.is((await exited)[0], 0);
});
