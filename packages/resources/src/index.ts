/** Schemas, checks and the store repository of operator resources. */
export { ConfigurationView } from "./configuration-view.js";
export type { AuthenticatedKey, ConfigurationViewOptions } from "./configuration-view.js";
export { createChoiceSchema, createIntegerSchema, createTextSchema, nameSchema } from "./fields.js";
export { canBeSecret, generateSecret, hashSecret, isSameHash } from "./key-secret.js";
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
    toDeadlineTime,
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
