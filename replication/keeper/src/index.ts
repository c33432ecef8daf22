/** Keeps a group's membership without an operator. */
export { MembershipKeeper } from './membershipKeeper'
export type { MembershipKeeperOptions } from './membershipKeeper'
export { countByDomain, missingAfterLoss } from './domainSpread'
export type { SpreadRules } from './domainSpread'
export { domainOutlook, planMembership } from './planMembership'
export type { DomainOutlook, MembershipRules, MembershipView } from './planMembership'
