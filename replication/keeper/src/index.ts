/** Keeps a group's membership without an operator. */
export { MembershipKeeper } from './membershipKeeper'
export type { MembershipKeeperOptions } from './membershipKeeper'
export { planMembership } from './planMembership'
export type { MembershipRules, MembershipView } from './planMembership'
