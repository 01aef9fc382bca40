/** Values that are not groups, as JSON, by dotted path. */
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
 * Compares two versions of the settings of a program.
 *
 * @param before - Validated earlier settings.
 * @param after - Validated later settings.
 * @returns Sorted dotted paths of the keys that were added, removed or changed.
 */
export const changedKeys = (before: object, after: object): readonly string[] => {
  const [oldLeaves, newLeaves] = [leavesOf(before), leavesOf(after)];
  return [...new Set([...oldLeaves.keys(), ...newLeaves.keys()])]
    .filter((key) => oldLeaves.get(key) !== newLeaves.get(key))
    .sort();
};
