import { printServed } from "./servedWhenCutOff.js";
import { printStranded } from "./strandedAfterCrash.js";
import { printSurge } from "./surgeWrites.js";

/** Measurements by the name that selects them on the command line; all run without a name. */
const MEASUREMENTS: Readonly<Record<string, () => void>> = {
  stranded: printStranded,
  served: printServed,
  surge: printSurge,
};

const selected = process.argv.slice(2);
for (const [name, print] of Object.entries(MEASUREMENTS)) {
  if (selected.length === 0 || selected.includes(name)) {
    print();
  }
}
