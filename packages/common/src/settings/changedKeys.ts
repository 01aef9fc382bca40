type Leaves = ReadonlyMap<string, string>;

const isGroup = (value: unknown): value is object =>
  typeof value === "object" && value !== null && !Array.isArray(value);

const addLeaves = (leaves: Map<string, string>, group: object, path: string): void => {
  for (const [name, value] of Object.entries(group)) {
    const key = path === "" ? name : `${path}.${name}`;
    if (isGroup(value)) {
      addLeaves(leaves, value, key);
    } else {
      leaves.set(key, JSON.stringify([value]));
    }
  }
};

const leavesOf = (settings: object): Leaves => {
  const leaves = new Map<string, string>();
  addLeaves(leaves, settings, "");
  return leaves;
};

/**
 * @param before - Checked settings.
 * @param after - Checked settings of the same program.
 * @returns Keys whose values differ, as dotted paths in order; those of either side count.
 */
export const changedKeys = (before: object, after: object): readonly string[] => {
  const [old, fresh] = [leavesOf(before), leavesOf(after)];
  return [...new Set([...old.keys(), ...fresh.keys()])]
    .filter((key) => old.get(key) !== fresh.get(key))
    .sort();
};
