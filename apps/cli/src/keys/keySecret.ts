import { createHash } from "node:crypto";
import { type KeyHash, keyHash, type KeyId, keyId, type TeamId } from "@heatherferry/common";
import { KEY_SECRET } from "../constants.js";

/**
 * Returns the SHA-256 of a secret; the rules store only this hash.
 *
 * @param secret - Secret that a caller presents.
 */
export const hashSecret = (secret: string): KeyHash =>
  keyHash(createHash("sha256").update(secret).digest("hex"));

/**
 * Returns the name of a key: its team and the first digits of its hash.
 *
 * @param team - Team that the key is for.
 * @param hash - Hash of the key's secret.
 */
export const nameKey = (team: TeamId, hash: KeyHash): KeyId =>
  keyId(`${team.slice(0, 50)}-${hash.slice(0, KEY_SECRET.NAME_HASH_DIGITS)}`);
