import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import test from "ava";
import { Program } from "../src/index.js";

const MAIN = fileURLToPath(new URL("../src/main.js", import.meta.url));

const settingsFile = (text: string): string => {
  const path = join(mkdtempSync(join(tmpdir(), "standins-")), "settings.toml");
  writeFileSync(path, text);
  return path;
};

for (const [title, args] of [
  ["an unknown command", ["platfrom"]],
  ["an unknown key", ["target", "--settings", settingsFile("[targets]\nslot = 3\n")]],
  ["a load without entry hosts", ["load"]],
  ["a port out of range", ["platform", "--port", "70000"]],
] as const) {
  test(`${title} ends the program with code 2`, async (t) => {
    t.is(await new Program(MAIN, args).waitForExit(), 2);
  });
}

test("a target process that gets SIGTERM finishes its running requests, and ends with code 0", async (t) => {
  const program = new Program(MAIN, ["target"]);
  const control = `http://${String((await program.waitForLog("listening")).address)}`;
  const listed = (await (await fetch(`${control}/control/hosts`)).json()) as {
    hosts: { address: string }[];
  };
  const running = fetch(`http://${listed.hosts[0]?.address ?? ""}/lots`, {
    headers: { "x-work-ms": "300", "x-request-tag": "last" },
  });
  let started = false;
  while (!started) {
    const { runs } = (await (await fetch(`${control}/control/runs`)).json()) as { runs: object };
    started = "last" in runs;
  }
  program.signal("SIGTERM");
  t.is((await running).status, 200);
  t.is(await program.waitForExit(), 0);
});
