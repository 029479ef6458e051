/** Schemas, checks and the store repository of operator resources. */
export { ConfigurationView } from "./configuration-view.js";
export type { AuthenticatedCaller, ConfigurationViewOptions } from "./configuration-view.js";
export { createEnumSchema, createIntegerSchema, createTextSchema, nameSchema } from "./field-schemas.js";
export { generateSecret, hashSecret, hasSecretLength, isSameHash } from "./key-secret.js";
export { maxReasonLength, maxResourceBytes, maxRevision } from "./limits.js";
export { configurationPrefix, decodeResource, encodeResource, parseStoreKey, toStoreKey } from "./resource-codec.js";
export { ResourceRepository } from "./resource-repository.js";
export type { CreatedKey, ResourceList, ResourceRepositoryOptions } from "./resource-repository.js";
export {
    configurationKinds,
    drainSpecSchema,
    isConfigurationResource,
    jobSpecSchema,
    keySpecSchema,
    queueSpecSchema,
    resourceKinds,
    teamSpecSchema,
    toDeadlineWallTime,
} from "./schemas.js";
export type {
    ConfigurationKind,
    ConfigurationResource,
    DrainResource,
    DrainSpec,
    JobResource,
    JobSpec,
    KeyResource,
    KeySpec,
    QueueResource,
    QueueSpec,
    Resource,
    ResourceEnvelope,
    ResourceKind,
    ResourceOf,
    TeamResource,
    TeamSpec,
} from "./schemas.js";
export { formatValue, parseName, parseResource, parseSpec, validateValue } from "./validation.js";
