import { createHash } from "node:crypto";
import { type KeyHash, keyHash, type KeyId, keyId, type TeamId } from "@heatherferry/common";
import { KEY_SECRET } from "../constants.js";

/**
 * @param secret - What a submitter presents.
 * @returns Its SHA-256, which is all that the rules keep.
 */
export const hashSecret = (secret: string): KeyHash =>
  keyHash(createHash("sha256").update(secret).digest("hex"));

/**
 * @param team - The team that a key is for.
 * @param hash - The key's hash.
 * @returns A name for the key.
 */
export const nameKey = (team: TeamId, hash: KeyHash): KeyId =>
  keyId(`${team.slice(0, 50)}-${hash.slice(0, KEY_SECRET.NAME_HASH_DIGITS)}`);
