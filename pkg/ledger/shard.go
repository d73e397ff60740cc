package ledger

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BudgetID returns the id of an account's budget.
func BudgetID(service, account string) string { return service + "/" + account }

func serviceOf(budgetID string) string {
	service, _, _ := strings.Cut(budgetID, "/")
	return service
}

// ShardOf returns the index of the shard that holds a budget.
func ShardOf(budgetID string, shards int) int {
	return int(xxhash.Sum64String(budgetID) % uint64(shards))
}

// ObjectKey returns the key of a shard's object in the platform's store.
func ObjectKey(shard int) string { return fmt.Sprintf("ledger/%04d", shard) }
