/** Union of the values of a constant object. */
export type ValueOf<T> = T[keyof T];
