// Reads a TAP report and prints the failures and counts. Exits with 1 if a test failed that
// KNOWN-RED.txt does not list, if the report is incomplete, or if no test passed.
import { existsSync, readFileSync } from "node:fs";

const [reportPath, knownPath] = process.argv.slice(2);
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
const isComplete = report.some((line) => /^1\.\.\d+/.test(line));

for (const title of known) console.log(`known red: ${title}`);
for (const title of unexpected) console.log(`failed: ${title}`);
if (!isComplete) console.log("The test run stopped before its end: the report has no plan line.");
console.log(
  `${passed.length} passed, ${failed.length} failed${skipped > 0 ? `, ${skipped} skipped` : ""}`,
);
process.exit(unexpected.length === 0 && isComplete && passed.length > 0 ? 0 : 1);
