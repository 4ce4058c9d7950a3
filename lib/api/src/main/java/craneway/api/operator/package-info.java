/**
 * The operators' HTTP interface of routers and stores: manifests, intents, plans, status, usage and rebuilding the
 * core.
 */
package craneway.api.operator;
