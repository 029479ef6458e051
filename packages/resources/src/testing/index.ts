/** Test doubles for other packages. */
export { MemoryStore, MemoryStoreData } from "./memory-store.js";
