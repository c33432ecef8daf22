/** Maintains a group's membership without an operator. */
export { MembershipReconciler } from './membershipReconciler'
export type { MembershipReconcilerOptions } from './membershipReconciler'
export { countByDomain, missingAfterLoss } from './domainSpread'
export type { SpreadRules } from './domainSpread'
export { domainTolerance, planMembership } from './planMembership'
export type { DomainTolerance, MembershipRules, MembershipView } from './planMembership'
