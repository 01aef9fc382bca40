// Reads the TAP reports of a number of test runs, one after another, and prints the failures and
// counts. Exits with 1 if a test failed that KNOWN-RED.txt does not list, if a report is missing or
// incomplete, or if no test passed in a run.
import { existsSync, readFileSync } from "node:fs";

const [reportPath, knownPath, expectedRuns = "1"] = process.argv.slice(2);
const report = readFileSync(reportPath, "utf8").split("\n");
const normalize = (title) => title.replaceAll("›", "-").replaceAll(/\s+/g, " ").trim();

const listed = existsSync(knownPath)
  ? readFileSync(knownPath, "utf8")
      .split("\n")
      .filter((line) => line.startsWith("test: "))
      .map((line) => normalize(line.slice("test: ".length)))
  : [];

const titles = (prefix) =>
  report
    .filter((line) => line.startsWith(prefix))
    .map((line) => normalize(line.replace(/^(not )?ok \d+ - /, "")));

const passed = titles("ok ").filter(
  (title) => !title.includes("# SKIP") && !title.includes("# TODO"),
);
const skipped = titles("ok ").length - passed.length;
const failed = titles("not ok ");
const known = failed.filter((title) => listed.includes(title));
const unexpected = failed.filter((title) => !listed.includes(title));

const runs = [];
for (const line of report) {
  if (line.startsWith("TAP version")) runs.push([]);
  runs.at(-1)?.push(line);
}
const isComplete = (lines) =>
  lines.some((line) => /^1\.\.\d+/.test(line)) && lines.some((line) => line.startsWith("ok "));
const completeRuns = runs.filter(isComplete).length;
const areComplete = runs.length === Number(expectedRuns) && completeRuns === runs.length;

for (const title of known) console.log(`known red: ${title}`);
for (const title of unexpected) console.log(`failed: ${title}`);
if (!areComplete) {
  console.log(
    `${completeRuns} of ${expectedRuns} test runs came to their end (a plan line and a passed test).`,
  );
}
console.log(
  `${passed.length} passed, ${failed.length} failed${skipped > 0 ? `, ${skipped} skipped` : ""}`,
);
process.exit(unexpected.length === 0 && areComplete && passed.length > 0 ? 0 : 1);
