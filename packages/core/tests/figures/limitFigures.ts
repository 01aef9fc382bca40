import { printServedWhileDisconnected } from "./servedWhileDisconnected.js";
import { printStrandedAfterCrash } from "./strandedAfterCrash.js";
import { printSurgeWrites } from "./surgeWrites.js";

/** Measurements by the name that selects them on the command line; all run without a name. */
const MEASUREMENTS: Readonly<Record<string, () => void>> = {
  stranded: printStrandedAfterCrash,
  served: printServedWhileDisconnected,
  surge: printSurgeWrites,
};

const selected = process.argv.slice(2);
for (const [name, print] of Object.entries(MEASUREMENTS)) {
  if (selected.length === 0 || selected.includes(name)) {
    print();
  }
}
