import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { z } from "zod";
import { loadSettings, SettingsError } from "../src/index.js";

const SCHEMA = z.strictObject({ listen: z.strictObject({ port: z.int() }) });

const fileWith = (text: string): string => {
  const path = join(mkdtempSync(join(tmpdir(), "settings-")), "entry.toml");
  writeFileSync(path, text);
  return path;
};

const errorOf = (text: string): SettingsError => {
  try {
    loadSettings(fileWith(text), SCHEMA);
  } catch (error) {
    if (error instanceof SettingsError) {
      return error;
    }
  }
  throw new Error("loadSettings accepted invalid settings");
};

test("settings that match the schema are returned", (t) => {
  t.deepEqual(loadSettings(fileWith("[listen]\nport = 80\n"), SCHEMA), { listen: { port: 80 } });
});

test("an unknown key is rejected with its full path", (t) => {
  const error = errorOf("[listen]\nport = 80\nprot = 1\n");
  t.is(error.kind, "invalid");
  t.regex(error.message, /entry\.toml: unknown key listen\.prot.*Correct or remove/);
});

test("a value of the wrong type is rejected with the full path of its key", (t) => {
  t.regex(errorOf('[listen]\nport = "x"\n').message, /key listen\.port/);
});

test("a file that is not TOML is rejected", (t) => {
  t.is(errorOf("[listen\n").kind, "notToml");
});
