const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const RANGE = 2 ** 32;

/** Returns a 32-bit hash (FNV-1a) of a text, the same on every node. */
export const hashOfText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
};

/** Returns a fraction from 0 up to 1 that depends on a text alone, the same on every node. */
export const fractionOfText = (text: string): number => hashOfText(text) / RANGE;
