/** Letters, digits, dots, underlines and hyphens, the first a letter or digit; at most as long as a DNS label, 63. */
const DOMAIN_NAME = /^[\p{L}\p{N}][\p{L}\p{N}._-]{0,62}$/u

/** Whether a word can be the name of a failure domain, known or not. */
export function isDomainName(text: string): boolean {
  return DOMAIN_NAME.test(text)
}
