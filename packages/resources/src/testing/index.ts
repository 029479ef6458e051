/** Parts for tests of other packages. */
export { MemoryStore, MemoryStoreData } from "./memory-store.js";
